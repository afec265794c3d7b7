"""Benchmarks of the project."""
