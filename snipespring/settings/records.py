"""Hold the settings of one process and what is wrong with a settings file."""

from typing import NewType

from attrs import field, frozen

from ..records import Address, DomainName, HostId

__all__ = [
    "AddressList",
    "ByteCount",
    "CallerSettings",
    "Count",
    "HostSettings",
    "GatewayCallerSettings",
    "GatewayListenSettings",
    "GatewayLimitSettings",
    "GatewayPlatformSettings",
    "GatewayRetrySettings",
    "GatewaySettings",
    "GatewayStopSettings",
    "HttpUrl",
    "ListenSettings",
    "LogLevel",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "SecretEnvironment",
    "SecretFile",
    "SecretSource",
    "Seconds",
    "Settings",
    "Share",
    "SettingsProblem",
    "SettingsProblems",
]

Seconds = NewType("Seconds", float)
ByteCount = NewType("ByteCount", int)
Count = NewType("Count", int)
Share = NewType("Share", float)
HttpUrl = NewType("HttpUrl", str)
LogLevel = NewType("LogLevel", str)

AddressList = NewType("AddressList", tuple[Address, ...])

MEBIBYTE_BYTES = 1024 * 1024


@frozen(kw_only=True)
class SecretFile:
    """Take the secret of the fleet from a file, relative to the settings file."""

    path: str


@frozen(kw_only=True)
class SecretEnvironment:
    """Take the secret of the fleet from an environment variable."""

    name: str


SecretSource = SecretFile | SecretEnvironment


@frozen(kw_only=True)
class HostSettings:
    """Name this host and its place."""

    id: HostId
    domain: DomainName
    region: str


@frozen(kw_only=True)
class ListenSettings:
    """Give the addresses that this host listens on."""

    callers: Address
    peers: Address
    operators: Address


@frozen(kw_only=True)
class PlatformSettings:
    """Locate the platform's API."""

    url: HttpUrl
    timeout_s: Seconds = Seconds(0.5)


@frozen(kw_only=True)
class PeerSettings:
    """Set how this host exchanges state with its peers."""

    secret: SecretSource
    fanout: Count = Count(4)
    pull_interval_s: Seconds = Seconds(0.5)
    lease_s: Seconds = Seconds(4.0)
    drift_margin_s: Seconds = Seconds(0.4)
    seeds: AddressList = AddressList(())


@frozen(kw_only=True)
class CallerSettings:
    """Bound the work that callers may cause on this host."""

    threads: Count = Count(32)
    max_body_bytes: ByteCount = ByteCount(8 * MEBIBYTE_BYTES)
    connections: Count = Count(500)
    address_lifetime_s: Seconds = Seconds(10.0)
    queue: Count = Count(64)


@frozen(kw_only=True)
class LogSettings:
    """Set the least severe level that is logged."""

    level: LogLevel = LogLevel("info")


@frozen(kw_only=True)
class Settings:
    """Hold the settings of one process."""

    host: HostSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    callers: CallerSettings = field(factory=CallerSettings)
    log: LogSettings = field(factory=LogSettings)


@frozen(kw_only=True)
class GatewayListenSettings:
    """Give the addresses that a host on the users' platform listens on.

    `peers` takes datagrams, `operators` serves metrics and state.
    """

    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    operators: Address


@frozen(kw_only=True)
class GatewayPlatformSettings:
    """Locate the platform's store and bound what follows from its answers.

    A withdrawn key stops within `revoke_s`; a configuration is in force within
    `apply_s`; a server that left gets nothing after `drain_s`.
    """

    store: Address
    timeout_s: Seconds = Seconds(1.0)
    revoke_s: Seconds = Seconds(5.0)
    apply_s: Seconds = Seconds(2.0)
    drain_s: Seconds = Seconds(2.0)


@frozen(kw_only=True)
class GatewayCallerSettings:
    """Bound the work that callers may cause on this host."""

    memory_bytes: ByteCount = ByteCount(300 * MEBIBYTE_BYTES)
    descriptors: Count = Count(4100)
    address_lifetime_s: Seconds = Seconds(2.0)


@frozen(kw_only=True)
class GatewayLimitSettings:
    """State over which windows an organisation's rate is judged, with slack."""

    window_s: Seconds = Seconds(5.0)
    overshoot: Share = Share(0.1)
    slack: Count = Count(20)


@frozen(kw_only=True)
class GatewayRetrySettings:
    """Bound the fleet's repeated attempts on a service.

    In any window of `window_s` seconds they stay below `share` of the requests
    for it plus `slack`.
    """

    share: Share = Share(0.2)
    slack: Count = Count(56)
    window_s: Seconds = Seconds(10.0)


@frozen(kw_only=True)
class GatewayStopSettings:
    """State how long a process may go on after SIGTERM."""

    grace_s: Seconds = Seconds(6.0)


@frozen(kw_only=True)
class GatewaySettings:
    """Hold the settings of one process on the users' platform."""

    host: HostSettings
    listen: GatewayListenSettings
    platform: GatewayPlatformSettings
    callers: GatewayCallerSettings = field(factory=GatewayCallerSettings)
    limits: GatewayLimitSettings = field(factory=GatewayLimitSettings)
    retries: GatewayRetrySettings = field(factory=GatewayRetrySettings)
    stop: GatewayStopSettings = field(factory=GatewayStopSettings)
    log: LogSettings = field(factory=LogSettings)


@frozen(kw_only=True)
class SettingsProblem:
    """State what is wrong at one line; line 0 stands for the file as a whole."""

    file: str
    line: int
    field: str
    reason: str

    def __str__(self) -> str:
        """Return the problem as one line for operators."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        return ": ".join(part for part in (place, self.field, self.reason) if part)


@frozen(kw_only=True)
class SettingsProblems:
    """Hold every problem of a settings file in the order of its lines."""

    problems: tuple[SettingsProblem, ...]
