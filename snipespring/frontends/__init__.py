"""Translate between records and the protocols of callers, hosts and servers."""
