"""Measure how the cost of each role grows with its size."""
