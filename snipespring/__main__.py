"""Run the command line as a module."""

from .cli import main

main()
