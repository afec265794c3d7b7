"""Declare the commands with their arguments and help texts."""

from __future__ import annotations

from typing import Annotated

import cappa
from attrs import frozen
from cappa import Arg, Subcommands

__all__ = [
    "Addresses",
    "Apply",
    "Check",
    "CheckConfiguration",
    "ConfigurationCommand",
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

    Exits 0 after a graceful stop, 2 if the settings are invalid, 3 if the host cannot
    listen on its addresses.
    """

    settings: Annotated[str, Arg(long=True, short="-s", help="Settings file (YAML)")]


@cappa.command(name="gateway", invoke="snipespring.cli.gateway.run")
@frozen(kw_only=True)
class GatewayCommand:
    """Run one host on the users' platform until SIGTERM.

    Exits 0 after a graceful stop, 2 if the settings are invalid, 3 if the host cannot
    listen on its addresses, 4 if its modules cannot be loaded.
    """

    settings: Annotated[
        str | None,
        Arg(
            long=True,
            short="-s",
            help="Settings file (YAML); default: the path that the platform provides",
        ),
    ] = None


@cappa.command(name="check", invoke="snipespring.cli.rules.check")
@frozen(kw_only=True)
class Check:
    """Check a rules file and report every invalid line.

    Exits 0 if all lines are valid, 2 otherwise.
    """

    file: Annotated[str, Arg(help="Rules file")]
    json: Annotated[bool, Arg(long=True, help="Print JSON")] = False


@cappa.command(name="diff", invoke="snipespring.cli.rules.diff")
@frozen(kw_only=True)
class Diff:
    """Show what applying a rules file would change.

    Exits 0 if nothing would change, 1 if something would, 2 on bad input, 3 if the
    platform is unreachable.
    """

    file: Annotated[str, Arg(help="Rules file")]
    platform: Annotated[str, Arg(long=True, help="Platform URL")] = DEFAULT_PLATFORM_URL


@cappa.command(name="apply", invoke="snipespring.cli.rules.apply")
@frozen(kw_only=True)
class Apply:
    """Apply a rules file; after a concurrent edit, show the differences instead.

    Exits 0 if accepted (with --wait: if active on all hosts), 1 on conflict or
    timeout, 2 on bad input, 3 if the platform is unreachable.
    """

    file: Annotated[str, Arg(help="Rules file")]
    platform: Annotated[str, Arg(long=True, help="Platform URL")] = DEFAULT_PLATFORM_URL
    expect: Annotated[
        int | None, Arg(long=True, help="Apply only if this is the current version")
    ] = None
    wait: Annotated[bool, Arg(long=True, help="Wait until active on all hosts")] = False
    operators: Annotated[
        str, Arg(long=True, help="Operators' address of any host, for --wait")
    ] = DEFAULT_OPERATORS_ADDRESS
    timeout_s: Annotated[
        float, Arg(long=True, help="Maximum wait in seconds, for --wait")
    ] = 10.0


@cappa.command(name="show", invoke="snipespring.cli.rules.show")
@frozen(kw_only=True)
class Show:
    """Print the rules that are stored on the platform.

    Exits 0 on success, 1 if there are no readable rules, 3 if the platform is
    unreachable.
    """

    platform: Annotated[str, Arg(long=True, help="Platform URL")] = DEFAULT_PLATFORM_URL


@cappa.command(name="rules")
@frozen(kw_only=True)
class Rules:
    """Check, compare, apply and show the rules."""

    command: Subcommands[Check | Diff | Apply | Show]


@cappa.command(name="check", invoke="snipespring.cli.configuration.check")
@frozen(kw_only=True)
class CheckConfiguration:
    """Check a configuration of the platform before it is sent.

    Reports errors, entries that no request can match and limits that contradict each
    other, and with --store what differs from the version in force. Exits 0 if nothing
    is reported, 1 if no error is among the findings, 2 on errors or bad input, 3 if the
    store is unreachable.
    """

    file: Annotated[str, Arg(help="Configuration (JSON), as in the store's object")]
    store: Annotated[
        str | None, Arg(long=True, help="Address of the platform's store, as IP:PORT")
    ] = None


@cappa.command(name="config")
@frozen(kw_only=True)
class ConfigurationCommand:
    """Check the configuration of the platform."""

    command: Subcommands[CheckConfiguration]


@cappa.command(name="status", invoke="snipespring.cli.reads.status")
@frozen(kw_only=True)
class Status:
    """Show the versions, the lease and the hosts that one host knows."""

    operators: Annotated[str, Arg(long=True, help="Operators' address of a host")] = (
        DEFAULT_OPERATORS_ADDRESS
    )
    json: Annotated[bool, Arg(long=True, help="Print JSON")] = False


@cappa.command(name="dump", invoke="snipespring.cli.reads.dump")
@frozen(kw_only=True)
class Dump:
    """Print the complete state of one host as JSON."""

    operators: Annotated[str, Arg(long=True, help="Operators' address of a host")] = (
        DEFAULT_OPERATORS_ADDRESS
    )


@cappa.command(name="explain", invoke="snipespring.cli.reads.explain")
@frozen(kw_only=True)
class Explain:
    """Print the decisions about a server, organisation, host or request.

    Exits 0 if any are found, 1 if none are, 3 if the host is unreachable.
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
    """Print the addresses of the hosts that a caller should use."""

    host: Annotated[str, Arg(help="Callers' address of any host, as IP:PORT")]
    key_env: Annotated[
        str, Arg(long=True, help="Environment variable that contains the API key")
    ] = "SNIPESPRING_KEY"
    json: Annotated[bool, Arg(long=True, help="Print JSON")] = False


@cappa.command(name="snipespring")
@frozen(kw_only=True)
class Snipespring:
    """Run and operate a fleet of proxies.

    Exit codes: 0 success, 1 refused or nothing found, 2 bad input, 3 unreachable.
    """

    command: Subcommands[
        ProxyCommand
        | GatewayCommand
        | Rules
        | ConfigurationCommand
        | Status
        | Dump
        | Explain
        | Addresses
    ]
