"""Refuse at once what a service has no room for, by the demand on all hosts.

The load is that of callers who together ask for more work than the slots of a service
can do, in waves of several seconds. A refusal while there is room is the worst error,
since most callers do not come back. Without a recent view of the fleet nothing is
refused here.
"""

from itertools import accumulate
from random import Random

from attrs import frozen

from ...records import ServiceDemand
from .demand import LEVELS_PER_URGENCY, RECENT_S
from .retry_after import spread_retry_after

__all__ = ["HasRoom", "Overloaded", "ServiceRoom", "admit_offered", "make_room"]

# The servers count as full if at least this share of the reported slots is in use and
# this many requests wait for each slot. These keep the slots in use while the view is
# out of date.
MIN_USED_SHARE = 0.95
MIN_WAITING_PER_SLOT = 0.5
# The work admitted, as a multiple of the room, falls with the requests that wait for a
# slot, from the first figure by the second for each. Errors of the expected work so
# change the backlog and not the use of the slots. A slower fall loses urgent requests
# to their deadlines, and a ratio below the third figure leaves slots idle after a wave.
MAX_ADMITTED_RATIO = 1.2
RATIO_PER_WAITING = 0.2
MIN_ADMITTED_RATIO = 0.8
# Requests of every level get at least this part of the average share.
MIN_SHARE = 0.25
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


@frozen(kw_only=True)
class HasRoom:
    """Admit a request to its service."""


@frozen(kw_only=True)
class Overloaded:
    """Refuse a request because its service has no room for it."""

    reason: str
    retry_after_s: float


@frozen(kw_only=True)
class ServiceRoom:
    """Compare the demand on a service with its room, both as numbers of busy slots.

    `shares` are the parts of the requests of each level that find room. The backlog
    of requests at the servers takes `drain_s` seconds.
    """

    slots: int
    offered: float
    used_share: float
    waiting_per_slot: float
    shares: tuple[float, ...]
    drain_s: float


def make_room(demand: ServiceDemand, *, slots: int) -> ServiceRoom:
    """Return the room of a service that has so many slots."""
    counts = demand.counts
    offered = [work_ms / 1000.0 / RECENT_S for work_ms in counts.offered_ms]
    used_share = counts.used_slots / counts.slots if counts.slots else 0.0
    waiting_per_slot = counts.waiting / counts.slots if counts.slots else 0.0
    requests = sum(counts.firsts)
    mean_work_s = sum(offered) * RECENT_S / requests if requests else 0.0
    is_full = used_share >= MIN_USED_SHARE and waiting_per_slot >= MIN_WAITING_PER_SLOT
    ratio = MAX_ADMITTED_RATIO - RATIO_PER_WAITING * waiting_per_slot
    room = slots * max(MIN_ADMITTED_RATIO, ratio)
    return ServiceRoom(
        slots=slots,
        offered=sum(offered),
        used_share=used_share,
        waiting_per_slot=waiting_per_slot,
        shares=_share_room(offered, room) if is_full and slots else (),
        drain_s=waiting_per_slot * mean_work_s,
    )


def admit_offered(
    room: ServiceRoom, level: int, *, rng: Random
) -> HasRoom | Overloaded:
    """Decide whether to admit a request of a level.

    All hosts admit the same share of it, since they know the same sums.
    """
    share = room.shares[level] if level < len(room.shares) else 1.0
    if share >= 1.0 or rng.random() < share:
        return HasRoom()
    kind = "much" if level % LEVELS_PER_URGENCY else "little"
    reason = (
        f"overload: {room.offered:.0f} slots wanted on all hosts, {room.slots} exist, "
        f"{room.used_share:.0%} in use, {room.waiting_per_slot:.1f} requests wait for "
        f"each; {share:.0%} admitted of priority {level // LEVELS_PER_URGENCY} with "
        f"{kind} work"
    )
    return Overloaded(reason=reason, retry_after_s=_retry_after_s(room, rng=rng))


def _share_room(offered: list[float], room: float) -> tuple[float, ...]:
    """Return the share of each level that fits when the lower levels go first."""
    total = sum(offered)
    least = MIN_SHARE * min(1.0, room / total) if total else 1.0
    before = (0.0, *accumulate(offered))
    return tuple(
        max(least, min(1.0, (room - start) / work)) if work else 1.0
        for start, work in zip(before, offered, strict=False)
    )


def _retry_after_s(room: ServiceRoom, *, rng: Random) -> float:
    """Return when there will be room: after the backlog and the excess of a second."""
    excess_s = max(0.0, room.offered / room.slots - 1.0)
    base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, room.drain_s + excess_s))
    return spread_retry_after(base_s, rng=rng)
