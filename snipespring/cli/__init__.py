"""Provide the command line interface."""
