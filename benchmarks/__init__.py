"""Measure the code of the project."""
