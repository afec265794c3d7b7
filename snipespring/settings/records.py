"""Define the settings of one process and the problems of a settings file."""

from typing import NewType

from attrs import field, frozen
from immutables import Map

from ..records import Address, DomainName, HostId

__all__ = [
    "AddressList",
    "Amount",
    "ByteCount",
    "CallerSettings",
    "Count",
    "GatewayHostSettings",
    "HostSettings",
    "GatewayCallerSettings",
    "GatewayListenSettings",
    "GatewayLimitSettings",
    "GatewayPlatformSettings",
    "GatewayRetrySettings",
    "GatewayServerSettings",
    "GatewaySettings",
    "GatewayStopSettings",
    "HttpUrl",
    "ListenSettings",
    "LogLevel",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "RegionTable",
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
Amount = NewType("Amount", float)
Share = NewType("Share", float)
HttpUrl = NewType("HttpUrl", str)
LogLevel = NewType("LogLevel", str)

AddressList = NewType("AddressList", tuple[Address, ...])
# Maps failure domains to regions.
RegionTable = NewType("RegionTable", Map[DomainName, str])

KIBIBYTE_BYTES = 1024
MEBIBYTE_BYTES = 1024 * KIBIBYTE_BYTES


@frozen(kw_only=True)
class SecretFile:
    """Read the fleet's secret from a file; `path` is relative to the settings file."""

    path: str


@frozen(kw_only=True)
class SecretEnvironment:
    """Read the fleet's secret from an environment variable."""

    name: str


SecretSource = SecretFile | SecretEnvironment


@frozen(kw_only=True)
class HostSettings:
    """Identify this host and its location."""

    id: HostId
    domain: DomainName
    region: str


@frozen(kw_only=True)
class GatewayHostSettings(HostSettings):
    """Identify a gateway host; `bootstrap` marks the first start of the whole fleet."""

    bootstrap: bool = False


@frozen(kw_only=True)
class ListenSettings:
    """Set the addresses that this host listens on."""

    callers: Address
    peers: Address
    operators: Address


@frozen(kw_only=True)
class PlatformSettings:
    """Set how this host reaches the platform's API."""

    url: HttpUrl
    timeout_s: Seconds = Seconds(0.5)


@frozen(kw_only=True)
class PeerSettings:
    """Set how this host exchanges state with its peers.

    `seeds` are the peers to query while the roster lists no other host. A lease ends
    after `lease_s`; `drift_margin_s` is added before other hosts rely on its end.
    """

    secret: SecretSource
    fanout: Count = Count(4)
    pull_interval_s: Seconds = Seconds(0.5)
    lease_s: Seconds = Seconds(4.0)
    drift_margin_s: Seconds = Seconds(0.4)
    seeds: AddressList = AddressList(())


@frozen(kw_only=True)
class CallerSettings:
    """Limit the resources that callers can use on this host.

    At most `queue` requests wait for a slot; the HTTP server has `threads + queue`
    threads. The head of a request (first line and header fields) may have fewer than
    `max_head_bytes`. Callers may use a list of addresses for `address_lifetime_s`.
    """

    threads: Count = Count(32)
    max_head_bytes: ByteCount = ByteCount(32 * KIBIBYTE_BYTES)
    max_body_bytes: ByteCount = ByteCount(8 * MEBIBYTE_BYTES)
    connections: Count = Count(500)
    address_lifetime_s: Seconds = Seconds(10.0)
    queue: Count = Count(64)


@frozen(kw_only=True)
class LogSettings:
    """Set the minimum level of log records that are written."""

    level: LogLevel = LogLevel("info")


@frozen(kw_only=True)
class Settings:
    """Represent the settings of one proxy process."""

    host: HostSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    callers: CallerSettings = field(factory=CallerSettings)
    log: LogSettings = field(factory=LogSettings)


@frozen(kw_only=True)
class GatewayListenSettings:
    """Set the addresses that a gateway host listens on.

    `peers` receives datagrams; `operators` serves metrics and the state dump.
    """

    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    operators: Address


@frozen(kw_only=True)
class GatewayPlatformSettings:
    """Set how this host reaches the platform's store, and how fast changes apply.

    A revoked key is refused within `revoke_s`, a configuration is effective within
    `apply_s`, and a removed server gets no requests after `drain_s`. Each server renews
    its entry every `heartbeat_s` seconds. The servers of an evacuated domain get no
    requests after `evacuate_s`; without it, evacuations are not followed.
    """

    store: Address
    timeout_s: Seconds = Seconds(1.0)
    revoke_s: Seconds = Seconds(5.0)
    apply_s: Seconds = Seconds(2.0)
    drain_s: Seconds = Seconds(2.0)
    heartbeat_s: Seconds = Seconds(1.5)
    evacuate_s: Seconds | None = None


@frozen(kw_only=True)
class GatewayCallerSettings:
    """Limit the resources that callers can use on this host.

    `memory_bytes` determines the number of threads and the memory for request bodies,
    `descriptors` (file descriptors) the number of callers' connections. The head of a
    request (first line and header fields) may have fewer than `max_head_bytes`. Callers
    may use a list of addresses for `address_lifetime_s`. The host has `cpu_share` of
    each of its `cores`, and a link of `link_mbps`.
    """

    memory_bytes: ByteCount = ByteCount(300 * MEBIBYTE_BYTES)
    descriptors: Count = Count(4100)
    max_head_bytes: ByteCount = ByteCount(32 * KIBIBYTE_BYTES)
    cpu_share: Amount = Amount(1.0)
    cores: Amount = Amount(1.0)
    link_mbps: Amount = Amount(1000.0)
    address_lifetime_s: Seconds = Seconds(2.0)


@frozen(kw_only=True)
class GatewayLimitSettings:
    """Set the tolerance of organisations' rate limits over any window.

    In any window of `window_s` seconds, an organisation may send `1 + overshoot` times
    what its rate and burst allow, plus `slack` requests.
    """

    window_s: Seconds = Seconds(5.0)
    overshoot: Share = Share(0.1)
    slack: Amount = Amount(20.0)


@frozen(kw_only=True)
class GatewayRetrySettings:
    """Limit the fleet's retries for each service.

    In any window of `window_s` seconds, retries stay below `share` times the number of
    requests for the service, plus `slack`.
    """

    share: Share = Share(0.2)
    slack: Amount = Amount(56.0)
    window_s: Seconds = Seconds(10.0)


@frozen(kw_only=True)
class GatewayServerSettings:
    """Set the use of each service's servers.

    While the service fails, at least the share `floor` of its servers get requests.
    In any second, a cold server gets at most `warmup_overshoot` times the rate that its
    service names, plus `warmup_slack` requests. If only one of them is set, the other
    is 0; if neither is set, cold servers are not bounded.
    """

    floor: Share = Share(0.7)
    warmup_overshoot: Share | None = None
    warmup_slack: Amount | None = None


@frozen(kw_only=True)
class GatewayStopSettings:
    """Set how long a process may run after SIGTERM."""

    grace_s: Seconds = Seconds(6.0)


@frozen(kw_only=True)
class GatewaySettings:
    """Represent the settings of one gateway process on the users' platform.

    `regions` maps failure domains to regions.
    """

    host: GatewayHostSettings
    listen: GatewayListenSettings
    platform: GatewayPlatformSettings
    callers: GatewayCallerSettings = field(factory=GatewayCallerSettings)
    limits: GatewayLimitSettings = field(factory=GatewayLimitSettings)
    retries: GatewayRetrySettings = field(factory=GatewayRetrySettings)
    servers: GatewayServerSettings = field(factory=GatewayServerSettings)
    stop: GatewayStopSettings = field(factory=GatewayStopSettings)
    regions: RegionTable = RegionTable(Map())
    log: LogSettings = field(factory=LogSettings)


@frozen(kw_only=True)
class SettingsProblem:
    """Describe what is wrong at one line; line 0 means the file as a whole."""

    file: str
    line: int
    field: str
    reason: str

    def __str__(self) -> str:
        """Format the problem on one line, for operators."""
        location = f"{self.file}:{self.line}" if self.line else self.file
        return ": ".join(part for part in (location, self.field, self.reason) if part)


@frozen(kw_only=True)
class SettingsProblems:
    """List the problems of a settings file in the order of its lines."""

    problems: tuple[SettingsProblem, ...]
