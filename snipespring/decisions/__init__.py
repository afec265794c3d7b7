"""Decide by plain functions from records and a clock reading to records."""
