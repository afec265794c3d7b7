"""Serve callers over HTTP."""

from .app import CallersApp, drop_fields, make_status_line

__all__ = ["CallersApp", "drop_fields", "make_status_line"]
