"""Create the objects that all parts of one proxy process share."""

import uuid
from random import Random

from attrs import define

from ..blackboard import Board
from ..controllers import EventRecorder, MetricsRecorder
from ..frontends.peers import PooledPeerClient
from ..platform.versioned_objects import VersionedObjectStore
from ..records import Host, Incarnation
from ..settings import Settings
from ..utils import Clock
from .process_context import ProcessContext, make_process_context

__all__ = ["ProxyContext", "make_proxy_context"]

TIMESTAMP_DIGITS = 13
MS_PER_S = 1000


@define(kw_only=True, eq=False)
class ProxyContext:
    """Group the process context, settings, identity and connections of one host."""

    process: ProcessContext
    settings: Settings
    own_host: Host
    platform: VersionedObjectStore
    links: PooledPeerClient

    @property
    def board(self) -> Board:
        """Return the blackboard of the process."""
        return self.process.board

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""
        return self.process.clock

    @property
    def rng(self) -> Random:
        """Return the random source of the process."""
        return self.process.rng

    @property
    def event_recorder(self) -> EventRecorder:
        """Return the event recorder of the process."""
        return self.process.event_recorder

    @property
    def metrics(self) -> MetricsRecorder:
        """Return the metrics recorder of the process."""
        return self.process.metrics


def make_proxy_context(settings: Settings, secret: bytes) -> ProxyContext:
    """Create the context of a new incarnation of this host."""
    process = make_process_context()
    return ProxyContext(
        process=process,
        settings=settings,
        own_host=_describe_host(settings, process.clock),
        platform=VersionedObjectStore(
            url=settings.platform.url, timeout_s=settings.platform.timeout_s
        ),
        links=PooledPeerClient(secret=secret),
    )


def _describe_host(settings: Settings, clock: Clock) -> Host:
    started_ms = int(clock.wall_s() * MS_PER_S)
    incarnation = f"{started_ms:0{TIMESTAMP_DIGITS}d}-{uuid.uuid4().hex[:8]}"
    return Host(
        host_id=settings.host.id,
        incarnation=Incarnation(incarnation),
        domain=settings.host.domain,
        callers=settings.listen.callers,
        peers=settings.listen.peers,
        operators=settings.listen.operators,
    )
