"""Run small stand-ins of the platform and of backend servers."""
