"""Play demand in waves on the servers of a service, in virtual time."""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from math import pi, sin
from random import Random

import pytest
from attrs import define, field, frozen

from snipespring.decisions.overload import (
    HasRoom,
    Overloaded,
    add_demand,
    admit_offered,
    count_demand,
    count_first,
    count_offered,
    count_report,
    level_of,
    make_room,
    spread_retry_after,
)
from snipespring.records import (
    Answered,
    BackendResult,
    DemandCounts,
    DemandLog,
    ReportedLoad,
    ServiceDemand,
    ServiceName,
    ShedByServer,
)

SERVICE = ServiceName("ledger")
SERVERS, SLOTS, QUEUE = 54, 3, 14
VIEW_LAG_S = 0.6
WINDOW_S = 10.0
MEAN_WORK_S = 0.39


@frozen
class Route:
    """Describe requests: urgency, work, deadline and share of all requests."""

    urgency: int
    work_s: float
    deadline_s: float
    share: float


ROUTES = (
    Route(0, 0.163, 1.5, 0.3),
    Route(1, 0.27, 3.0, 0.35),
    Route(2, 0.21, 3.0, 0.1),
    Route(2, 0.833, 6.0, 0.25),
)
WORK_S = sum(route.share * route.work_s for route in ROUTES)


@define
class Server:
    running: int = 0
    queue: deque[tuple[float, Route]] = field(factory=deque)


@define(kw_only=True, eq=False)
class Play:
    """Send requests to the shorter of two servers; count the answers in time."""

    load: Callable[[float], float]
    uses_admission: bool = True
    rng: Random = field(factory=lambda: Random(11))
    sent: Counter[Route] = field(factory=Counter)
    served: Counter[Route] = field(factory=Counter)
    refused: Counter[Route] = field(factory=Counter)
    free_at_refusal: list[float] = field(factory=list)
    servers: list[Server] = field(factory=lambda: [Server() for _ in range(SERVERS)])
    log: DemandLog = field(factory=DemandLog)
    _ends: list[tuple[float, int, int]] = field(factory=list)
    _views: deque[tuple[float, ServiceDemand]] = field(factory=deque)
    _view: ServiceDemand = field(factory=lambda: ServiceDemand(service=SERVICE))

    def run(self, duration_s: float) -> None:
        now_s = next_view_s = 0.0
        while now_s < duration_s:
            rate = self.load(now_s) * SERVERS * SLOTS / WORK_S
            now_s += self.rng.expovariate(rate)
            self._finish_until(now_s)
            if now_s >= next_view_s:
                next_view_s = now_s + 0.25
                found = count_demand(self.log, window_s=WINDOW_S, now_s=now_s)
                self._views += [(now_s + VIEW_LAG_S, demand) for demand in found]
            while self._views and self._views[0][0] <= now_s:
                self._view = self._views.popleft()[1]
            shares = [route.share for route in ROUTES]
            self._arrive(self.rng.choices(ROUTES, shares)[0], now_s)

    def _arrive(self, route: Route, now_s: float) -> None:
        self.sent[route] += 1
        level = level_of(route.urgency, route.work_s, MEAN_WORK_S)
        self._count(count_offered(level, route.work_s), now_s)
        room = make_room(self._view, slots=SERVERS * SLOTS)
        match admit_offered(room, level, rng=self.rng):
            case Overloaded(reason=reason, retry_after_s=retry_after_s):
                assert "overload" in reason and retry_after_s > 0.0
                if self.uses_admission:
                    self.refused[route] += 1
                    used = sum(server.running for server in self.servers)
                    self.free_at_refusal.append(1.0 - used / (SERVERS * SLOTS))
                    return
            case HasRoom():
                pass
        self._count(count_first(route.urgency), now_s)
        number = min(
            self.rng.sample(range(SERVERS), 2),
            key=lambda n: self.servers[n].running + len(self.servers[n].queue),
        )
        server = self.servers[number]
        if server.running < SLOTS:
            self._start(number, now_s, route, now_s)
        elif len(server.queue) < QUEUE:
            server.queue.append((now_s, route))
        else:
            shed = ShedByServer(retry_after_s=None, load=self._report(server))
            self._count_report(shed, now_s)

    def _start(self, number: int, sent_s: float, route: Route, now_s: float) -> None:
        self.servers[number].running += 1
        end_s = now_s + route.work_s * self.rng.uniform(0.7, 1.3)
        heapq.heappush(self._ends, (end_s, number, ROUTES.index(route)))
        self.served[route] += end_s - sent_s <= route.deadline_s

    def _finish_until(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] <= now_s:
            end_s, number, _ = heapq.heappop(self._ends)
            server = self.servers[number]
            server.running -= 1
            if server.queue:
                self._start(number, *server.queue.popleft(), end_s)
            answer = Answered(
                status=200, headers=(), body=b"", load=self._report(server)
            )
            self._count_report(answer, end_s)

    def _report(self, server: Server) -> ReportedLoad:
        return ReportedLoad(busy=server.running + len(server.queue), slots=SLOTS)

    def _count_report(self, result: BackendResult, now_s: float) -> None:
        counts = count_report(result)
        assert counts is not None
        self._count(counts, now_s)

    def _count(self, counts: DemandCounts, now_s: float) -> None:
        self.log = add_demand(self.log, SERVICE, counts, window_s=WINDOW_S, now_s=now_s)


def wave(mean: float) -> Callable[[float], float]:
    return lambda now_s: mean * (1.0 + 0.55 * sin(2.0 * pi * now_s / 13.0))


def burst(now_s: float) -> float:
    return 1.7 if 8.0 <= now_s < 14.0 else 0.8


def share_served(play: Play, urgency: int) -> float:
    routes = [route for route in ROUTES if route.urgency == urgency]
    return sum(play.served[r] for r in routes) / sum(play.sent[r] for r in routes)


@pytest.mark.parametrize("load", [wave(0.6), lambda _: 0.9])
def test_nothing_is_refused_below_the_room(load: Callable[[float], float]) -> None:
    """Guard against the worst error: a refusal while the servers have room."""
    play = Play(load=load)
    play.run(40.0)
    assert not play.refused


@pytest.mark.parametrize(
    "load", [wave(1.1), burst, lambda s: 0.5 + 0.05 * s, lambda s: 2.0 - 0.05 * s]
)
def test_overload_costs_the_least_urgent_and_leaves_no_slot_idle(
    load: Callable[[float], float],
) -> None:
    """Guard against losing urgent requests to others, and room to refusals."""
    played, former = Play(load=load), Play(load=load, uses_admission=False)
    for play in (played, former):
        play.run(39.0)
    assert share_served(played, 0) > 0.1 + share_served(former, 0)
    assert share_served(played, 0) > max(0.8, share_served(played, 2))
    assert share_served(played, 2) > 0.25
    assert played.served.total() > 1.02 * former.served.total()
    free = played.free_at_refusal
    assert sum(free) / max(1, len(free)) < 0.03


def test_callers_do_not_come_back_together() -> None:
    """Guard against a second peak when all refused callers return at once."""
    rng = Random(2)
    times_s = [spread_retry_after(1.0, rng=rng) for _ in range(200)]
    assert min(times_s) >= 0.8
    assert max(times_s) - min(times_s) > 0.8
