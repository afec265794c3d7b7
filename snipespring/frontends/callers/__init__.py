"""Translate callers' HTTP requests to records and replies back."""

from .app import CallersApp

__all__ = ["CallersApp"]
