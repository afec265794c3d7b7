"""Offer the command line of the fleet."""

from .main import main

__all__ = ["main"]
