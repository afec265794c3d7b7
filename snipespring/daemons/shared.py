"""Hold what every part of one host is built from."""

import uuid
from random import Random

from attrs import define

from ..blackboard import Board
from ..controllers import Accountant, Historian
from ..frontends.peers import PeerLinks
from ..frontends.platform import HttpPlatform
from ..records import Host, Incarnation
from ..settings import Settings
from ..utils import Clock, SystemClock

__all__ = ["Shared", "make_shared"]

WALL_DIGITS = 13
MS_PER_S = 1000


@define(kw_only=True, eq=False)
class Shared:
    """Hold the board, the clocks, the links and the settings of one host."""

    settings: Settings
    board: Board
    clock: Clock
    rng: Random
    own: Host
    platform: HttpPlatform
    links: PeerLinks
    historian: Historian
    accountant: Accountant


def make_shared(settings: Settings, secret: bytes) -> Shared:
    """Return what a new incarnation of this host starts with."""
    board = Board()
    clock = SystemClock()
    return Shared(
        settings=settings,
        board=board,
        clock=clock,
        rng=Random(),
        own=_describe_host(settings, clock),
        platform=HttpPlatform(
            url=settings.platform.url, timeout_s=settings.platform.timeout_s
        ),
        links=PeerLinks(secret=secret),
        historian=Historian(board=board),
        accountant=Accountant(board=board),
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
