"""Declare the commands, their arguments and their help."""

from __future__ import annotations

from typing import Annotated

import cappa
from attrs import frozen
from cappa import Arg, Subcommands

__all__ = [
    "Addresses",
    "Apply",
    "Check",
    "Diff",
    "Dump",
    "Explain",
    "GatewayCommand",
    "ProxyCommand",
    "Rules",
    "Show",
    "Snipespring",
    "Status",
]

DEFAULT_PLATFORM_URL = "http://127.0.0.1:8500"
DEFAULT_OPERATORS_ADDRESS = "127.0.0.1:9100"


@cappa.command(name="proxy", invoke="snipespring.cli.proxy.run")
@frozen(kw_only=True)
class ProxyCommand:
    """Run one host of the fleet until SIGTERM.

    Exits 0 after a graceful stop, 2 if the settings are wrong.
    """

    settings: Annotated[str, Arg(long=True, short="-s", help="Settings file (YAML)")]


@cappa.command(name="gateway", invoke="snipespring.cli.gateway.run")
@frozen(kw_only=True)
class GatewayCommand:
    """Run one host on the users' platform until SIGTERM.

    Exits 0 after a graceful stop, 2 if the settings are wrong.
    """

    settings: Annotated[
        str | None,
        Arg(
            long=True,
            short="-s",
            help="Settings file (YAML); by default the one that the platform names",
        ),
    ] = None


@cappa.command(name="check", invoke="snipespring.cli.rules.check")
@frozen(kw_only=True)
class Check:
    """Check a rules file and report every bad line.

    Exits 0 if all lines are good, 2 if any is bad.
    """

    file: Annotated[str, Arg(help="Rules file")]
    json: Annotated[bool, Arg(long=True, help="Print JSON")] = False


@cappa.command(name="diff", invoke="snipespring.cli.rules.diff")
@frozen(kw_only=True)
class Diff:
    """Show what applying a rules file would change.

    Exits 0 if nothing would change, 1 if something would, 2 on bad input.
    """

    file: Annotated[str, Arg(help="Rules file")]
    platform: Annotated[str, Arg(long=True, help="Platform URL")] = DEFAULT_PLATFORM_URL


@cappa.command(name="apply", invoke="snipespring.cli.rules.apply")
@frozen(kw_only=True)
class Apply:
    """Apply a rules file; a concurrent edit is reported with its difference.

    Exits 0 when accepted (and in force, with --wait), 1 on conflict or timeout,
    2 on bad input, 3 if the platform is away.
    """

    file: Annotated[str, Arg(help="Rules file")]
    platform: Annotated[str, Arg(long=True, help="Platform URL")] = DEFAULT_PLATFORM_URL
    expect: Annotated[
        int | None, Arg(long=True, help="Version that the edit is based on")
    ] = None
    wait: Annotated[bool, Arg(long=True, help="Wait until in force everywhere")] = False
    operators: Annotated[
        str, Arg(long=True, help="Operators' address of any host, for --wait")
    ] = DEFAULT_OPERATORS_ADDRESS
    timeout_s: Annotated[float, Arg(long=True, help="Seconds to wait with --wait")] = (
        10.0
    )


@cappa.command(name="show", invoke="snipespring.cli.rules.show")
@frozen(kw_only=True)
class Show:
    """Print the rules that the platform holds.

    Exits 0, 1 if there are none, 3 if the platform is away.
    """

    platform: Annotated[str, Arg(long=True, help="Platform URL")] = DEFAULT_PLATFORM_URL


@cappa.command(name="rules")
@frozen(kw_only=True)
class Rules:
    """Check, compare, apply and show the rules."""

    command: Subcommands[Check | Diff | Apply | Show]


@cappa.command(name="status", invoke="snipespring.cli.reads.status")
@frozen(kw_only=True)
class Status:
    """Show versions, lease and hosts as one host sees them."""

    operators: Annotated[str, Arg(long=True, help="Operators' address of a host")] = (
        DEFAULT_OPERATORS_ADDRESS
    )
    json: Annotated[bool, Arg(long=True, help="Print JSON")] = False


@cappa.command(name="dump", invoke="snipespring.cli.reads.dump")
@frozen(kw_only=True)
class Dump:
    """Print the whole state of one host as JSON."""

    operators: Annotated[str, Arg(long=True, help="Operators' address of a host")] = (
        DEFAULT_OPERATORS_ADDRESS
    )


@cappa.command(name="explain", invoke="snipespring.cli.reads.explain")
@frozen(kw_only=True)
class Explain:
    """Print the decisions that concern a server, an organisation or a request.

    Exits 0 if any is found, 1 if none is.
    """

    subject: Annotated[
        str | None, Arg(help="Server, organisation, host or request id")
    ] = None
    operators: Annotated[str, Arg(long=True, help="Operators' address of a host")] = (
        DEFAULT_OPERATORS_ADDRESS
    )
    json: Annotated[bool, Arg(long=True, help="Print JSON")] = False


@cappa.command(name="addresses", invoke="snipespring.cli.reads.addresses")
@frozen(kw_only=True)
class Addresses:
    """Ask a host which hosts a caller should use."""

    host: Annotated[str, Arg(help="Callers' address of any host, as IP:PORT")]
    key_env: Annotated[
        str, Arg(long=True, help="Environment variable that holds the key")
    ] = "SNIPESPRING_KEY"
    json: Annotated[bool, Arg(long=True, help="Print JSON")] = False


@cappa.command(name="snipespring")
@frozen(kw_only=True)
class Snipespring:
    """Run and operate a fleet of proxies.

    Exit codes: 0 success, 1 refused or nothing found, 2 bad input, 3 out of reach.
    """

    command: Subcommands[
        ProxyCommand | GatewayCommand | Rules | Status | Dump | Explain | Addresses
    ]
