"""Hold what every part of one host is built from."""

import uuid
from random import Random

from attrs import define

from ..blackboard import Board
from ..controllers import EventRecorder, MetricsRecorder
from ..frontends.peers import PeerLinks
from ..platform.contents import StoredContents
from ..records import Host, Incarnation
from ..settings import Settings
from ..utils import Clock
from .core import Core, make_core

__all__ = ["Shared", "make_shared"]

WALL_DIGITS = 13
MS_PER_S = 1000


@define(kw_only=True, eq=False)
class Shared:
    """Hold the core, the links and the settings of one host."""

    core: Core
    settings: Settings
    own: Host
    platform: StoredContents
    links: PeerLinks

    @property
    def board(self) -> Board:
        """Return the board of the core."""
        return self.core.board

    @property
    def clock(self) -> Clock:
        """Return the clock of the core."""
        return self.core.clock

    @property
    def rng(self) -> Random:
        """Return the random source of the core."""
        return self.core.rng

    @property
    def historian(self) -> EventRecorder:
        """Return the historian of the core."""
        return self.core.historian

    @property
    def accountant(self) -> MetricsRecorder:
        """Return the accountant of the core."""
        return self.core.accountant


def make_shared(settings: Settings, secret: bytes) -> Shared:
    """Return what a new incarnation of this host starts with."""
    core = make_core()
    return Shared(
        core=core,
        settings=settings,
        own=_describe_host(settings, core.clock),
        platform=StoredContents(
            url=settings.platform.url, timeout_s=settings.platform.timeout_s
        ),
        links=PeerLinks(secret=secret),
    )


def _describe_host(settings: Settings, clock: Clock) -> Host:
    started_ms = int(clock.wall_s() * MS_PER_S)
    incarnation = f"{started_ms:0{WALL_DIGITS}d}-{uuid.uuid4().hex[:8]}"
    return Host(
        host_id=settings.host.id,
        incarnation=Incarnation(incarnation),
        domain=settings.host.domain,
        callers=settings.listen.callers,
        peers=settings.listen.peers,
        operators=settings.listen.operators,
    )
