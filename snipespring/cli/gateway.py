"""Run the gateway command."""

from .commands import GatewayCommand
from .start_gateway import start_gateway

__all__ = ["run"]


def run(command: GatewayCommand) -> int:
    """Run the host and return the exit code."""
    return start_gateway(command.settings)
