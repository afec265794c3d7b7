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
    make_server_ids,
)

__all__ = ["SimulatedFleet"]

HOSTS = 44
SLOTS = 3
SERVER_QUEUE_LENGTH = 3
RATE_PER_SERVER_PER_S = 20.0
MEDIAN_WORK_S = 0.025
WORK_SIGMA = 0.5
DEADLINE_S = 1.0
MAX_ATTEMPTS = 3
IDEMPOTENT_SHARE = 0.7
BACKGROUND_ERROR_RATIO = 0.001
UPDATE_INTERVAL_S = 0.25
ONE_WAY_S = 0.005
SHED_DELAY_S = 0.002
LOCAL_EJECTION_S = 30.0
ORGANISATION_WEIGHTS = (30, 25, 20, 8, 6, 5, 4, 2)
HOSTS_PER_ORGANISATION = 6
OK_STATUS = 200
ERROR_STATUS = 500


@define(kw_only=True, eq=False)
class _Attempt:
    host: int
    server: int
    name: str
    run: RunPolicy
    started_at_s: float
    deadline_at_s: float
    organisation: int
    number: int
    tried: tuple[int, ...]
    is_done: bool = False


@define(kw_only=True, eq=False)
class _Server:
    running: set[_Attempt] = field(factory=set)
    queued: deque[_Attempt] = field(factory=deque)


@define(kw_only=True, eq=False)
class _Host:
    evidence: Evidence = Evidence()
    last_report: SentReport | None = None
    held: EjectionListCopy | None = None
    sequence: int = 0
    until_s: dict[int, float] = field(factory=dict)
    consecutive_failures: dict[int, int] = field(factory=lambda: defaultdict(int))
    recent_results: dict[int, deque[tuple[float, bool]]] = field(
        factory=lambda: defaultdict(deque)
    )


@define(kw_only=True, eq=False)
class SimulatedFleet:
    """Run one service with one faulty server, server 0, from `fault_at_s` on."""

    servers: int
    strategy: Strategy
    fault: Fault
    fault_at_s: float
    rng: Random
    rule: ServiceRule
    now_s: float = 0.0
    detected_after_s: float | None = None
    state_changes: int = 0
    success_counts: list[int] = field(factory=lambda: [0] * len(ORGANISATION_WEIGHTS))
    request_counts: list[int] = field(factory=lambda: [0] * len(ORGANISATION_WEIGHTS))
    _ids: tuple[ServerId, ...] = field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: "count[int]" = field(factory=count)
    _hosts: list[_Host] = field(factory=lambda: [_Host() for _ in range(HOSTS)])
    _servers: list[_Server] = field(init=False)
    _organisation_hosts: list[list[int]] = field(init=False)
    _pool: EvidencePool = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build servers, the homes of organisations and the holder's pool."""
        self._ids = make_server_ids(self.servers)
        self._servers = [_Server() for _ in self._ids]
        hosts = range(HOSTS)
        self._organisation_hosts = [
            self.rng.sample(hosts, HOSTS_PER_ORGANISATION) for _ in ORGANISATION_WEIGHTS
        ]
        tenure = Tenure(version=1, lease_until_s=float("inf"))
        self._pool = create_pool(tenure, 0.0)

    def run(self, end_at_s: float) -> None:
        """Run until the end in virtual seconds."""
        self._schedule(0.0, self._arrive)
        if isinstance(self.strategy, Pooled):
            self._schedule(self.rng.uniform(0, UPDATE_INTERVAL_S), self._evaluate)
            for index in range(HOSTS):
                first_s = self.rng.uniform(0, UPDATE_INTERVAL_S)
                self._schedule(first_s, partial(self._send_report, index))
        while self._events[0][0] < end_at_s:
            self.now_s, _, act = heapq.heappop(self._events)
            act()

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        self._schedule(
            self.rng.expovariate(RATE_PER_SERVER_PER_S * self.servers),
            self._arrive,
        )
        organisation = self.rng.choices(
            range(len(ORGANISATION_WEIGHTS)), ORGANISATION_WEIGHTS
        )[0]
        idempotent = self.rng.random() < IDEMPOTENT_SHARE
        attempt = _Attempt(
            host=self.rng.choice(self._organisation_hosts[organisation]),
            server=-1,
            name="",
            run=RunIdempotent() if idempotent else RunOnce(),
            started_at_s=self.now_s,
            deadline_at_s=self.now_s + DEADLINE_S,
            organisation=organisation,
            number=0,
            tried=(),
        )
        if self.now_s >= self.fault_at_s:
            self.request_counts[organisation] += 1
        self._start_attempt(attempt)

    def _start_attempt(self, attempt: _Attempt) -> None:
        attempt.server = self._choose(attempt)
        attempt.name = str(next(self._order))
        attempt.started_at_s = self.now_s
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
        self._schedule(timeout_s, lambda: self._end_attempt(attempt, late))
        server = self._servers[attempt.server]
        if len(server.running) < SLOTS:
            self._start_work(attempt)
        elif len(server.queued) < SERVER_QUEUE_LENGTH:
            server.queued.append(attempt)
        else:
            shed = ShedByServer(retry_after_s=None)
            self._schedule(SHED_DELAY_S, lambda: self._end_attempt(attempt, shed))

    def _start_work(self, attempt: _Attempt) -> None:
        self._servers[attempt.server].running.add(attempt)
        work_s = MEDIAN_WORK_S * self.rng.lognormvariate(0, WORK_SIGMA)
        failed = self.rng.random() < BACKGROUND_ERROR_RATIO
        if attempt.server == 0 and self.now_s >= self.fault_at_s:
            match self.fault:
                case Dead():
                    return
                case Errors(share=share):
                    failed = failed or self.rng.random() < share
                case Slow(factor=factor):
                    work_s *= factor
                case Flapping(period_s=period_s):
                    if int((self.now_s - self.fault_at_s) / period_s) % 2 == 0:
                        return
        status = ERROR_STATUS if failed else OK_STATUS
        answered = Answered(status=status, headers=(), body=b"")
        self._schedule(work_s, lambda: self._end_attempt(attempt, answered))

    def _end_attempt(self, attempt: _Attempt, result: BackendResult) -> None:
        if attempt.is_done:
            return
        attempt.is_done = True
        server = self._servers[attempt.server]
        server.running.discard(attempt)
        if attempt in server.queued:
            server.queued.remove(attempt)
        if server.queued and len(server.running) < SLOTS:
            self._start_work(server.queued.popleft())
        self._record(attempt, result)
        self._retry_or_finish(attempt, result)

    def _retry_or_finish(self, attempt: _Attempt, result: BackendResult) -> None:
        left_s = attempt.deadline_at_s - self.now_s
        may_retry = (
            attempt.number + 1 < MAX_ATTEMPTS and left_s > UPDATE_INTERVAL_S / 10
        )
        match decide_after_attempt(result, attempt.run), result:
            case Retry(), _ if may_retry:
                retry = _Attempt(
                    host=attempt.host,
                    server=-1,
                    name="",
                    run=attempt.run,
                    started_at_s=self.now_s,
                    deadline_at_s=attempt.deadline_at_s,
                    organisation=attempt.organisation,
                    number=attempt.number + 1,
                    tried=(*attempt.tried, attempt.server),
                )
                self._start_attempt(retry)
            case _, Answered(status=status) if status == OK_STATUS:
                if attempt.deadline_at_s - DEADLINE_S >= self.fault_at_s:
                    self.success_counts[attempt.organisation] += 1
            case _:
                return

    def _choose(self, attempt: _Attempt) -> int:
        weights = [
            0.0 if index in attempt.tried else self._get_weight(attempt, index)
            for index in range(self.servers)
        ]
        if not any(weights):
            weights = [1.0] * self.servers
        return self.rng.choices(range(self.servers), weights)[0]

    def _get_weight(self, attempt: _Attempt, index: int) -> float:
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
                host.consecutive_failures[index] = (
                    host.consecutive_failures[index] + 1 if failed else 0
                )
                if host.consecutive_failures[index] >= limit:
                    self._eject_locally(host, index)
            case WindowShare() as rule:
                seen = host.recent_results[index]
                seen.append((self.now_s, failed))
                while seen[0][0] < self.now_s - rule.window_s:
                    seen.popleft()
                bad = sum(1 for _, was_bad in seen if was_bad)
                if len(seen) >= rule.min_attempts and bad >= rule.share * len(seen):
                    self._eject_locally(host, index)
            case Pooled() | NoEjection():
                return

    def _eject_locally(self, host: _Host, index: int) -> None:
        host.consecutive_failures[index] = 0
        host.recent_results[index].clear()
        host.until_s[index] = self.now_s + LOCAL_EJECTION_S
        self._check_detection()

    def _evaluate(self) -> None:
        self._schedule(UPDATE_INTERVAL_S, self._evaluate)
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
        self.state_changes += held.get(self._ids[0]) != new.get(self._ids[0])

    def _send_report(self, index: int) -> None:
        self._schedule(UPDATE_INTERVAL_S, lambda: self._send_report(index))
        host = self._hosts[index]
        servers = make_server_reports(host.evidence, ServerLoads(), SERVICE, self.now_s)
        due = is_report_due(
            host.last_report,
            servers,
            slow_bucket=host.held.slow_bucket if host.held else 30,
            has_entries=host.held is not None and bool(host.held.ejected),
            now_s=self.now_s,
        )
        if not due:
            return
        host.last_report = SentReport(at_s=self.now_s, servers=servers)
        host.sequence += 1
        report = EvidenceReport(
            sender=HostId(f"host-{index}"),
            incarnation=Incarnation("1"),
            sequence=host.sequence,
            domain=DomainName(f"domain-{index % 3}"),
            service=SERVICE,
            servers=servers,
        )
        self._schedule(ONE_WAY_S, lambda: self._receive_report(host, report))

    def _receive_report(self, host: _Host, report: EvidenceReport) -> None:
        assert isinstance(self.strategy, Pooled)
        self._pool = add_report(self._pool, report, self.now_s)
        reply = make_ejection_list(
            self._pool, SERVICE, self.strategy.policy, self.now_s
        )
        held = receive_ejection_list(reply, sent_at_s=self.now_s - ONE_WAY_S)
        self._schedule(ONE_WAY_S, lambda: self._store_ejection_list(host, held))

    def _store_ejection_list(
        self, host: _Host, ejection_list: EjectionListCopy
    ) -> None:
        host.held = ejection_list
        self._check_detection()

    def _check_detection(self) -> None:
        if self.detected_after_s is not None or self.now_s < self.fault_at_s:
            return
        used = [host for host in self._hosts if host.evidence.by_server]
        out = sum(1 for host in used if self._excludes_faulty_server(host))
        if out >= len(used) / 2:
            self.detected_after_s = self.now_s - self.fault_at_s

    def _excludes_faulty_server(self, host: _Host) -> bool:
        if host.until_s.get(0, 0.0) > self.now_s:
            return True
        entries = host.held.ejected if host.held is not None else ()
        return any(entry.server == self._ids[0] for entry in entries)
