"""Fake the hosts and servers of one service in virtual time."""

import heapq
from collections import defaultdict, deque
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

from attrs import define, field

from snipespring.decisions.attempts import (
    Retry,
    attempt_timeout_s,
    decide_after_attempt,
)
from snipespring.decisions.health import (
    SentReport,
    add_report,
    create_pool,
    effective_states,
    evaluate_pool,
    is_report_due,
    make_ejection_list,
    make_server_reports,
    receive_ejection_list,
    record_attempt_end,
    record_attempt_start,
)
from snipespring.records import (
    Answered,
    AnswerLate,
    BackendResult,
    DomainName,
    EjectionListCopy,
    Evidence,
    EvidencePool,
    EvidenceReport,
    HostId,
    Incarnation,
    RunIdempotent,
    RunOnce,
    RunPolicy,
    ServerEjected,
    ServerId,
    ServerLoads,
    ServerOnTrial,
    ServiceRule,
    ShedByServer,
    Tenure,
)

from .detection_cases import (
    SERVICE,
    ConsecutiveFailures,
    Dead,
    Errors,
    Fault,
    Flapping,
    NoEjection,
    Pooled,
    Slow,
    Strategy,
    WindowShare,
    server_ids,
)

__all__ = ["FakeFleet"]

HOSTS = 44
SLOTS = 3
QUEUE = 3
RATE_PER_SERVER = 20.0
MEDIAN_WORK_S = 0.025
WORK_SIGMA = 0.5
DEADLINE_S = 1.0
MAX_ATTEMPTS = 3
IDEMPOTENT_SHARE = 0.7
BACKGROUND_ERRORS = 0.001
STEP_S = 0.25
ONE_WAY_S = 0.005
SHED_S = 0.002
HOLD_S = 30.0
ORGANISATION_WEIGHTS = (30, 25, 20, 8, 6, 5, 4, 2)
HOME_HOSTS = 6
OK_STATUS = 200
ERROR_STATUS = 500


@define(kw_only=True, eq=False)
class _Attempt:
    host: int
    server: int
    name: str
    run: RunPolicy
    started_s: float
    deadline_at_s: float
    organisation: int
    number: int
    tried: tuple[int, ...]
    done: bool = False


@define(kw_only=True, eq=False)
class _Server:
    running: set[_Attempt] = field(factory=set)
    waiting: deque[_Attempt] = field(factory=deque)


@define(kw_only=True, eq=False)
class _Host:
    evidence: Evidence = Evidence()
    sent: SentReport | None = None
    held: EjectionListCopy | None = None
    sequence: int = 0
    until_s: dict[int, float] = field(factory=dict)
    in_a_row: dict[int, int] = field(factory=lambda: defaultdict(int))
    window: dict[int, deque[tuple[float, bool]]] = field(
        factory=lambda: defaultdict(deque)
    )


@define(kw_only=True, eq=False)
class FakeFleet:
    """Run one service with one faulty server, server 0, from `fault_s` on."""

    servers: int
    strategy: Strategy
    fault: Fault
    fault_s: float
    rng: Random
    rule: ServiceRule
    now_s: float = 0.0
    detected_s: float | None = None
    switches: int = 0
    succeeded: list[int] = field(factory=lambda: [0] * len(ORGANISATION_WEIGHTS))
    requests: list[int] = field(factory=lambda: [0] * len(ORGANISATION_WEIGHTS))
    _ids: tuple[ServerId, ...] = field(init=False)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: "count[int]" = field(factory=count)
    _hosts: list[_Host] = field(factory=lambda: [_Host() for _ in range(HOSTS)])
    _servers: list[_Server] = field(init=False)
    _homes: list[list[int]] = field(init=False)
    _pool: EvidencePool = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build servers, the homes of organisations and the holder's pool."""
        self._ids = server_ids(self.servers)
        self._servers = [_Server() for _ in self._ids]
        hosts = range(HOSTS)
        self._homes = [self.rng.sample(hosts, HOME_HOSTS) for _ in ORGANISATION_WEIGHTS]
        tenure = Tenure(version=1, lease_until_s=float("inf"))
        self._pool = create_pool(tenure, 0.0)

    def run(self, end_s: float) -> None:
        """Run until the end in virtual seconds."""
        self._at(0.0, self._arrive)
        if isinstance(self.strategy, Pooled):
            self._at(self.rng.uniform(0, STEP_S), self._judge)
            for index in range(HOSTS):
                first_s = self.rng.uniform(0, STEP_S)
                self._at(first_s, partial(self._report, index))
        while self._queue[0][0] < end_s:
            self.now_s, _, act = heapq.heappop(self._queue)
            act()

    def _at(self, delay_s: float, act: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._order), act)
        heapq.heappush(self._queue, entry)

    def _arrive(self) -> None:
        self._at(
            self.rng.expovariate(RATE_PER_SERVER * self.servers),
            self._arrive,
        )
        organisation = self.rng.choices(
            range(len(ORGANISATION_WEIGHTS)), ORGANISATION_WEIGHTS
        )[0]
        idempotent = self.rng.random() < IDEMPOTENT_SHARE
        attempt = _Attempt(
            host=self.rng.choice(self._homes[organisation]),
            server=-1,
            name="",
            run=RunIdempotent() if idempotent else RunOnce(),
            started_s=self.now_s,
            deadline_at_s=self.now_s + DEADLINE_S,
            organisation=organisation,
            number=0,
            tried=(),
        )
        if self.now_s >= self.fault_s:
            self.requests[organisation] += 1
        self._try(attempt)

    def _try(self, attempt: _Attempt) -> None:
        attempt.server = self._choose(attempt)
        attempt.name = str(next(self._order))
        attempt.started_s = self.now_s
        host = self._hosts[attempt.host]
        host.evidence = record_attempt_start(
            host.evidence, self._ids[attempt.server], attempt.name, self.now_s
        )
        timeout_s = attempt_timeout_s(
            attempt.run,
            remaining_s=attempt.deadline_at_s - self.now_s,
            is_last=attempt.number + 1 == MAX_ATTEMPTS,
        )
        late = AnswerLate(waited_s=timeout_s)
        self._at(timeout_s, lambda: self._end(attempt, late))
        server = self._servers[attempt.server]
        if len(server.running) < SLOTS:
            self._begin(attempt)
        elif len(server.waiting) < QUEUE:
            server.waiting.append(attempt)
        else:
            shed = ShedByServer(retry_after_s=None)
            self._at(SHED_S, lambda: self._end(attempt, shed))

    def _begin(self, attempt: _Attempt) -> None:
        self._servers[attempt.server].running.add(attempt)
        work_s = MEDIAN_WORK_S * self.rng.lognormvariate(0, WORK_SIGMA)
        failed = self.rng.random() < BACKGROUND_ERRORS
        if attempt.server == 0 and self.now_s >= self.fault_s:
            match self.fault:
                case Dead():
                    return
                case Errors(share=share):
                    failed = failed or self.rng.random() < share
                case Slow(factor=factor):
                    work_s *= factor
                case Flapping(period_s=period_s):
                    if int((self.now_s - self.fault_s) / period_s) % 2 == 0:
                        return
        status = ERROR_STATUS if failed else OK_STATUS
        answered = Answered(status=status, headers=(), body=b"")
        self._at(work_s, lambda: self._end(attempt, answered))

    def _end(self, attempt: _Attempt, result: BackendResult) -> None:
        if attempt.done:
            return
        attempt.done = True
        server = self._servers[attempt.server]
        server.running.discard(attempt)
        if attempt in server.waiting:
            server.waiting.remove(attempt)
        if server.waiting and len(server.running) < SLOTS:
            self._begin(server.waiting.popleft())
        self._record(attempt, result)
        self._finish(attempt, result)

    def _finish(self, attempt: _Attempt, result: BackendResult) -> None:
        left_s = attempt.deadline_at_s - self.now_s
        may_retry = attempt.number + 1 < MAX_ATTEMPTS and left_s > STEP_S / 10
        match decide_after_attempt(result, attempt.run), result:
            case Retry(), _ if may_retry:
                retry = _Attempt(
                    host=attempt.host,
                    server=-1,
                    name="",
                    run=attempt.run,
                    started_s=self.now_s,
                    deadline_at_s=attempt.deadline_at_s,
                    organisation=attempt.organisation,
                    number=attempt.number + 1,
                    tried=(*attempt.tried, attempt.server),
                )
                self._try(retry)
            case _, Answered(status=status) if status == OK_STATUS:
                if attempt.deadline_at_s - DEADLINE_S >= self.fault_s:
                    self.succeeded[attempt.organisation] += 1
            case _:
                return

    def _choose(self, attempt: _Attempt) -> int:
        weights = [
            0.0 if index in attempt.tried else self._weight(attempt, index)
            for index in range(self.servers)
        ]
        if not any(weights):
            weights = [1.0] * self.servers
        return self.rng.choices(range(self.servers), weights)[0]

    def _weight(self, attempt: _Attempt, index: int) -> float:
        host = self._hosts[attempt.host]
        if host.until_s.get(index, 0.0) > self.now_s:
            return 0.0
        if host.held is None:
            return 1.0
        match effective_states(host.held, self.now_s).get(self._ids[index]):
            case ServerEjected():
                return 0.0
            case ServerOnTrial(share=share):
                return share if isinstance(attempt.run, RunIdempotent) else 0.0
            case _:
                return 1.0

    def _record(self, attempt: _Attempt, result: BackendResult) -> None:
        host = self._hosts[attempt.host]
        index = attempt.server
        host.evidence = record_attempt_end(
            host.evidence, self._ids[index], attempt.name, result, self.now_s
        )
        failed = isinstance(result, AnswerLate) or (
            isinstance(result, Answered) and result.status == ERROR_STATUS
        )
        match self.strategy:
            case ConsecutiveFailures(limit=limit):
                host.in_a_row[index] = host.in_a_row[index] + 1 if failed else 0
                if host.in_a_row[index] >= limit:
                    self._eject_alone(host, index)
            case WindowShare() as rule:
                seen = host.window[index]
                seen.append((self.now_s, failed))
                while seen[0][0] < self.now_s - rule.window_s:
                    seen.popleft()
                bad = sum(1 for _, was_bad in seen if was_bad)
                if len(seen) >= rule.min_attempts and bad >= rule.share * len(seen):
                    self._eject_alone(host, index)
            case Pooled() | NoEjection():
                return

    def _eject_alone(self, host: _Host, index: int) -> None:
        host.in_a_row[index] = 0
        host.window[index].clear()
        host.until_s[index] = self.now_s + HOLD_S
        self._note_detection()

    def _judge(self) -> None:
        self._at(STEP_S, self._judge)
        assert isinstance(self.strategy, Pooled)
        held = {key: type(entry) for key, entry in self._pool.entries.items()}
        self._pool = evaluate_pool(
            self._pool,
            self.rule,
            frozenset(self._ids),
            policy=self.strategy.policy,
            now_s=self.now_s,
        )
        new = {key: type(entry) for key, entry in self._pool.entries.items()}
        self.switches += held.get(self._ids[0]) != new.get(self._ids[0])

    def _report(self, index: int) -> None:
        self._at(STEP_S, lambda: self._report(index))
        host = self._hosts[index]
        servers = make_server_reports(host.evidence, ServerLoads(), SERVICE, self.now_s)
        due = is_report_due(
            host.sent,
            servers,
            slow_bucket=host.held.slow_bucket if host.held else 30,
            has_entries=host.held is not None and bool(host.held.ejected),
            now_s=self.now_s,
        )
        if not due:
            return
        host.sent = SentReport(at_s=self.now_s, servers=servers)
        host.sequence += 1
        report = EvidenceReport(
            sender=HostId(f"host-{index}"),
            incarnation=Incarnation("1"),
            sequence=host.sequence,
            domain=DomainName(f"domain-{index % 3}"),
            service=SERVICE,
            servers=servers,
        )
        self._at(ONE_WAY_S, lambda: self._pool_report(host, report))

    def _pool_report(self, host: _Host, report: EvidenceReport) -> None:
        assert isinstance(self.strategy, Pooled)
        self._pool = add_report(self._pool, report, self.now_s)
        reply = make_ejection_list(
            self._pool, SERVICE, self.strategy.policy, self.now_s
        )
        held = receive_ejection_list(reply, sent_at_s=self.now_s - ONE_WAY_S)
        self._at(ONE_WAY_S, lambda: self._hold(host, held))

    def _hold(self, host: _Host, held: EjectionListCopy) -> None:
        host.held = held
        self._note_detection()

    def _note_detection(self) -> None:
        if self.detected_s is not None or self.now_s < self.fault_s:
            return
        used = [host for host in self._hosts if host.evidence.by_server]
        out = sum(1 for host in used if self._is_out(host))
        if out >= len(used) / 2:
            self.detected_s = self.now_s - self.fault_s

    def _is_out(self, host: _Host) -> bool:
        if host.until_s.get(0, 0.0) > self.now_s:
            return True
        entries = host.held.ejected if host.held is not None else ()
        return any(entry.server == self._ids[0] for entry in entries)
