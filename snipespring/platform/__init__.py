"""Translate between the users' platform and the records; contain no decisions."""
