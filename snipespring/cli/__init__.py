"""Provide the command line interface."""

from .main import main

__all__ = ["main"]
