"""Report attempt outcomes to the holders of ejection lists; store list copies."""

from concurrent.futures import Future, ThreadPoolExecutor

from attrs import define, evolve, field

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    EJECTION_LISTS,
    EVIDENCE,
    ROSTER,
    SERVER_LOADS,
)
from ..decisions.health import (
    SentReport,
    find_list_holder,
    is_report_due,
    list_services,
    make_server_reports,
    receive_ejection_list,
    select_changed_reports,
)
from ..frontends.peers import PeerClient
from ..records import (
    EjectionList,
    EjectionListCopies,
    EjectionListCopy,
    EvidenceReport,
    Host,
    PeerResult,
    ServerReport,
    ServiceName,
)
from ..utils import Clock
from .health_evaluator import HealthEvaluator

__all__ = ["HealthReporter"]

CHECK_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 0.5
CALL_THREADS = 4
# Histogram bucket from which on (0.81 s) answers count as slow, until a copy of the
# ejection list names another one.
DEFAULT_SLOW_BUCKET = 30


@define(kw_only=True, eq=False)
class HealthReporter:
    """Write the copies of the ejection lists that holders return."""

    board: Board
    clock: Clock
    client: PeerClient
    evaluator: HealthEvaluator
    own_host: Host
    name: str = "health_reporter"
    watches = ()
    _sequence: int = field(default=0, init=False)
    _sent: dict[ServiceName, SentReport] = field(factory=dict, init=False)
    _calls: dict[ServiceName, Future[SentReport]] = field(factory=dict, init=False)
    _executor: ThreadPoolExecutor = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the pool of threads that call holders."""
        self._executor = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="health")

    def step(self) -> float:
        """Report on every service that is due; return seconds until the next round."""
        self._collect_finished_calls()
        for service in self._list_services_in_use():
            if service not in self._calls:
                self._report_if_due(service)
        return CHECK_INTERVAL_S

    def _list_services_in_use(self) -> frozenset[ServiceName]:
        known = self.board.read(CONFIGURATION).services
        used = list_services(self.board.read(EVIDENCE))
        listed = self.board.read(EJECTION_LISTS).by_service.keys()
        return frozenset(name for name in used.union(listed) if name in known)

    def _collect_finished_calls(self) -> None:
        for service, future in list(self._calls.items()):
            if future.done():
                del self._calls[service]
                self._sent[service] = future.result()

    def _report_if_due(self, service: ServiceName) -> None:
        now_s = self.clock.monotonic_s()
        servers = make_server_reports(
            self.board.read(EVIDENCE), self.board.read(SERVER_LOADS), service, now_s
        )
        copy = self.board.read(EJECTION_LISTS).by_service.get(service)
        due = is_report_due(
            self._sent.get(service),
            servers,
            slow_bucket=copy.slow_bucket if copy else DEFAULT_SLOW_BUCKET,
            has_entries=copy is not None and _has_entries(copy),
            now_s=now_s,
        )
        if not due:
            return
        holder = find_list_holder(self.board.read(ROSTER), service)
        if holder is not None:
            report = self._make_report(service, servers)
            self._calls[service] = self._executor.submit(
                self._send_report, holder, report, servers
            )

    def _make_report(
        self, service: ServiceName, servers: tuple[ServerReport, ...]
    ) -> EvidenceReport:
        self._sequence += 1
        sent = self._sent.get(service)
        return EvidenceReport(
            sender=self.own_host.host_id,
            incarnation=self.own_host.incarnation,
            sequence=self._sequence,
            domain=self.own_host.domain,
            service=service,
            servers=select_changed_reports(sent, servers),
            complete=sent is None or not sent.servers,
        )

    def _send_report(
        self, holder: Host, report: EvidenceReport, servers: tuple[ServerReport, ...]
    ) -> SentReport:
        sent_at_s = self.clock.monotonic_s()
        match self._call_holder(holder, report):
            case EjectionList(service=service) as reply if service == report.service:
                self._store_list(
                    service, receive_ejection_list(reply, sent_at_s=sent_at_s)
                )
                if reply.wants_complete:
                    return SentReport(at_s=sent_at_s)
                return SentReport(at_s=sent_at_s, servers=servers)
            case _:
                return SentReport(at_s=sent_at_s)

    def _call_holder(self, holder: Host, report: EvidenceReport) -> PeerResult:
        if holder.host_id == self.own_host.host_id:
            return self.evaluator.answer(report)
        return self.client.call(holder.peers, report, timeout_s=CALL_TIMEOUT_S)

    def _store_list(self, service: ServiceName, copy: EjectionListCopy) -> None:
        def add(lists: EjectionListCopies) -> EjectionListCopies:
            return evolve(lists, by_service=lists.by_service.set(service, copy))

        self.board.update(EJECTION_LISTS, add, writer=self.name)


def _has_entries(copy: EjectionListCopy) -> bool:
    return bool(copy.ejected or copy.on_trial)
