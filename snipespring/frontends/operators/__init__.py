"""Serve operators: metrics, state dump, status and events."""

from .app import OperatorsApp

__all__ = ["OperatorsApp"]
