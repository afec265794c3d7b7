"""Hold virtual time, hosts, links, requests and token buckets for benchmarks."""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from attrs import define, field, frozen
from immutables import Map

from snipespring.records import (
    Address,
    DomainName,
    Host,
    HostId,
    Incarnation,
    OrganisationName,
    OrganisationRule,
    Roster,
)
from snipespring.utils import ManualClock

__all__ = ["Bucket", "Plan", "Request", "World", "count_excess", "make_roster"]

DOMAINS = 3
MIN_LATENCY_S = 0.003
MAX_LATENCY_S = 0.005
CALL_TIMEOUT_S = 0.15
DRAIN_S = 1.0
EPSILON = 1e-6


@define(kw_only=True, eq=False)
class Request:
    """Hold one request and how a scheme settled it.

    `reply_delay_s` is what the answer of another host took after the admission.
    """

    organisation: OrganisationName
    host: int
    arrived_at_s: float
    is_ideally_admitted: bool = False
    admitted_at_s: float | None = None
    reply_delay_s: float = 0.0


@frozen(kw_only=True)
class Plan:
    """Describe one scenario; times are seconds of virtual time."""

    name: str
    rules: tuple[OrganisationRule, ...]
    make_requests: Callable[[Random, "Plan"], list[Request]] = field(repr=False)
    load: float
    duration_s: float = 30.0
    hosts: int = 44
    killed_hosts: tuple[int, ...] = ()
    kill_at_s: float = 0.0
    removed_at_s: float | None = None
    fenced_at_s: float | None = None
    has_link_cut: bool = False
    counted_organisations: frozenset[OrganisationName] | None = None


@define(kw_only=True, eq=False)
class Bucket:
    """Hold a token bucket that starts full."""

    rate_per_s: float
    burst: float
    level: float
    as_of_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Take one token and return whether there was one."""
        elapsed_s = max(0.0, now_s - self.as_of_s)
        self.level = min(self.burst, self.level + self.rate_per_s * elapsed_s)
        self.as_of_s = max(now_s, self.as_of_s)
        if self.level < 1.0 - EPSILON:
            return False
        self.level -= 1.0
        return True


@frozen(kw_only=True, eq=False)
class _Event:
    at_s: float
    order: int
    action: Callable[[], None]

    def __lt__(self, other: "_Event") -> bool:
        """Return whether this event comes first."""
        if self.at_s != other.at_s:
            return self.at_s < other.at_s
        return self.order < other.order


@define(kw_only=True, eq=False)
class World:
    """Run events in the order of virtual time and tell which calls arrive."""

    plan: Plan
    rng: Random
    roster: Roster
    clock: ManualClock = field(factory=lambda: ManualClock(now_s=0.0))
    _events: list[_Event] = field(factory=list, init=False)
    _order: "count[int]" = field(factory=count, init=False)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        event = _Event(
            at_s=self.clock.now_s + delay_s, order=next(self._order), action=action
        )
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Run every event up to the end of the plan."""
        while self._events and self._events[0].at_s <= self.plan.duration_s + DRAIN_S:
            event = heapq.heappop(self._events)
            self.clock.now_s = event.at_s
            event.action()

    def draw_latency_s(self) -> float:
        """Return the latency of one message in seconds."""
        return self.rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S)

    def is_alive(self, index: int) -> bool:
        """Return whether a host still runs."""
        plan = self.plan
        return index not in plan.killed_hosts or self.clock.now_s < plan.kill_at_s

    def is_answered(self, first: int, second: int) -> bool:
        """Return whether a call between two running hosts is answered.

        A cut in one direction between two domains loses every call between them.
        """
        if not self.is_alive(second):
            return False
        return not self.plan.has_link_cut or {first % DOMAINS, second % DOMAINS} != {
            0,
            1,
        }

    def find_serving_host(self, index: int) -> int:
        """Return the host, or the next running one for callers of a dead one."""
        while not self.is_alive(index):
            index = (index + 1) % self.plan.hosts
        return index


def make_roster(hosts: int, *, without: tuple[int, ...] = (), version: int) -> Roster:
    """Return a roster of numbered hosts in three failure domains."""
    entries = {}
    for index in range(hosts):
        if index in without:
            continue
        address = Address(ip="127.0.0.1", port=index + 1)
        host = Host(
            host_id=HostId(f"host-{index}"),
            incarnation=Incarnation("1"),
            domain=DomainName(f"domain-{index % DOMAINS}"),
            callers=address,
            peers=address,
            operators=address,
        )
        entries[host.host_id] = host
    return Roster(version=version, hosts=Map(entries))


def count_excess(rule: OrganisationRule, times_s: list[float]) -> int:
    """Return how many admissions exceed rate and burst over some interval."""
    bucket = Bucket(rate_per_s=rule.rate_per_s, burst=rule.burst, level=rule.burst)
    return sum(not bucket.take(time_s) for time_s in sorted(times_s))
