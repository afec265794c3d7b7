"""Activate the published configuration and servers on this host."""

from math import inf

from attrs import define, evolve, field
from immutables import Map

from ..blackboard import Board
from ..blackboard.regions import CONFIGURATION, CONFIGURATION_FEED, SERVER_FEED
from ..decisions.catalog import (
    RetryBounds,
    apply_retry_bounds,
    apply_warmup_bounds,
    group_servers_by_service,
    list_new_cold,
    select_newest_configuration,
)
from ..decisions.feeds import list_active_servers, next_removal_s
from ..decisions.routing import WarmupBounds
from ..records import (
    Configuration,
    ConfigurationStep,
    PublishedServer,
    RegionMap,
    ServerStep,
)
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder
from .store_availability import read_recovery_s

__all__ = ["CatalogBuilder"]


@define(kw_only=True, eq=False)
class CatalogBuilder:
    """Write the configuration; its version never decreases.

    `grace_s` is the time in seconds after an outage of the store during which servers
    that the store no longer lists stay active. An outage is a time of `outage_s`
    seconds in which nobody is known to have reached the store.
    """

    board: Board
    clock: Clock
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    grace_s: float
    outage_s: float
    retries: RetryBounds
    warmups: WarmupBounds | None = None
    regions: RegionMap = RegionMap()
    name: str = "configurator"
    watches = (CONFIGURATION_FEED, SERVER_FEED)
    _published: dict[str, PublishedServer] = field(factory=dict, init=False)

    def step(self) -> float | None:
        """Combine both feeds; return seconds until a missing server is removed."""
        now_s = self.clock.monotonic_s()
        previous = self.board.read(CONFIGURATION)
        newest = select_newest_configuration(
            previous, self.board.read(CONFIGURATION_FEED)
        )
        if newest is not previous:
            newest = apply_retry_bounds(newest, self.retries)
            newest = apply_warmup_bounds(newest, self.warmups)
        view = self.board.read(SERVER_FEED)
        recovered_s = read_recovery_s(self.board, outage_s=self.outage_s)
        if view.restored_s is not None:
            # Entries of a backup lapse as they do in an outage.
            recovered_s = max(view.restored_s, recovered_s or view.restored_s)
        servers = list_active_servers(
            view, recovered_s=recovered_s, grace_s=self.grace_s, now_s=now_s
        )
        grouped = group_servers_by_service(
            servers,
            previous.servers,
            now_s=now_s,
            revisions=view.changed,
            regions=self.regions,
        )
        new = evolve(newest, servers=grouped)
        if new != previous:
            self.board.write(CONFIGURATION, new, writer=self.name)
        self._record_changes(previous, new, servers)
        next_s = next_removal_s(
            view, recovered_s=recovered_s, grace_s=self.grace_s, now_s=now_s
        )
        return None if next_s == inf else next_s - now_s

    def _record_changes(
        self,
        previous: Configuration,
        new: Configuration,
        servers: tuple[PublishedServer, ...],
    ) -> None:
        if new.version != previous.version:
            step = ConfigurationStep(
                at_wall_s=self.clock.wall_s(),
                version=new.version,
                evidence=f"active, after version {previous.version}",
            )
            self.event_recorder.record(step)
        self._record_warmups(previous, new)
        published = {server.instance: server for server in servers}
        if published == self._published:
            return
        for instance in published.keys() ^ self._published.keys():
            server = published.get(instance) or self._published[instance]
            self._record_server(server, is_listed=instance in published)
        self._published = published

    def _record_warmups(self, previous: Configuration, new: Configuration) -> None:
        """Record which servers of services with a bound have become cold."""
        now_s = self.clock.monotonic_s()
        for server, rate_per_s, left_s in list_new_cold(previous, new, now_s=now_s):
            step = ServerStep(
                at_wall_s=self.clock.wall_s(),
                server=server,
                state="cold",
                rule="warmup",
                evidence=f"cold for {left_s:.1f} s; gets {rate_per_s:.1f} requests/s",
            )
            self.event_recorder.record(step)
            self.metrics.count("cold_servers", server.service)

    def _record_server(self, server: PublishedServer, *, is_listed: bool) -> None:
        rule = next(
            iter(group_servers_by_service((server,), Map(), now_s=0.0).values())
        )[0]
        step = ServerStep(
            at_wall_s=self.clock.wall_s(),
            server=rule.server,
            state="listed" if is_listed else "left",
            rule="catalog",
            evidence=f"instance {server.instance} born {server.born_ms}",
        )
        self.event_recorder.record(step)
