"""Provide test stand-ins for the platform and for backend servers."""
