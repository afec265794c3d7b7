"""Run `python -m benchmarks.slopes ROLE`; each role is a subcommand."""

from pathlib import Path
from typing import Annotated

import cappa
from attrs import frozen
from cappa import Arg, Subcommands

from .fit import Series, print_series
from .health_and_limits import measure_evidence, measure_limits
from .roles import (
    measure_addresses,
    measure_leases,
    measure_memory,
    measure_placement,
    measure_routes,
    measure_rules,
    measure_statuses,
)

__all__ = ["main"]


@cappa.command(name="routes")
@frozen(kw_only=True)
class Routes:
    """Measure route lookup by routes."""


@cappa.command(name="rules")
@frozen(kw_only=True)
class Rules:
    """Measure parsing, checking and indexing by lines."""


@cappa.command(name="memory")
@frozen(kw_only=True)
class Memory:
    """Measure memory by organisations, routes, servers and hosts."""


@cappa.command(name="addresses")
@frozen(kw_only=True)
class Addresses:
    """Measure address answers by hosts and organisations."""


@cappa.command(name="membership")
@frozen(kw_only=True)
class Membership:
    """Measure placement, lease, fence and status merges by hosts."""


@cappa.command(name="health")
@frozen(kw_only=True)
class Health:
    """Measure evidence and judgement by servers of a service."""


@cappa.command(name="limits")
@frozen(kw_only=True)
class Limits:
    """Measure payments and accounts by organisations."""


Role = Routes | Rules | Memory | Addresses | Membership | Health | Limits


@cappa.command(name="slopes")
@frozen(kw_only=True)
class Slopes:
    """Measure how the cost of a role grows with its size."""

    role: Subcommands[Role]
    folder: Annotated[
        str | None, Arg(long=True, help="Folder for the rows as JSON")
    ] = None


def measure(role: Role) -> list[Series]:
    """Return the series of a role."""
    match role:
        case Routes():
            return measure_routes()
        case Rules():
            return measure_rules()
        case Memory():
            return measure_memory()
        case Addresses():
            return measure_addresses()
        case Membership():
            return measure_placement() + measure_leases() + measure_statuses()
        case Health():
            return measure_evidence()
        case Limits():
            return measure_limits()


def main() -> None:
    """Measure the role that the command line names."""
    command = cappa.parse(Slopes)
    folder = Path(command.folder) if command.folder else None
    for series in measure(command.role):
        print_series(series, folder)


if __name__ == "__main__":
    main()
