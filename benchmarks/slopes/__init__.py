"""Measure how the cost of each part of the system grows with its size."""
