"""Run the command line as a module."""

from .cli.main import main

main()
