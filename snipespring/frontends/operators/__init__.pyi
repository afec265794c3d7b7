from .app import OperatorsApp

__all__ = ["OperatorsApp"]
