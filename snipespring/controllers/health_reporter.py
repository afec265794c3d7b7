"""Report evidence to the holders of ejection lists and keep copies of these."""

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
from .health_judge import HealthJudge

__all__ = ["HealthReporter"]

CHECK_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 0.5
CALL_THREADS = 4
FIRST_SLOW_BUCKET = 30


@define(kw_only=True, eq=False)
class HealthReporter:
    """Write the copies of ejection lists that the holders answer with."""

    board: Board
    clock: Clock
    client: PeerClient
    judge: HealthJudge
    own: Host
    name: str = "health_reporter"
    watches = ()
    _sequence: int = field(default=0, init=False)
    _sent: dict[ServiceName, SentReport] = field(factory=dict, init=False)
    _calls: dict[ServiceName, Future[SentReport]] = field(factory=dict, init=False)
    _pool: ThreadPoolExecutor = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the threads that wait for holders."""
        self._pool = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="health")

    def step(self) -> float:
        """Report on every service that is due; return seconds until the next."""
        self._collect()
        for service in self._services_in_use():
            if service not in self._calls:
                self._report(service)
        return CHECK_INTERVAL_S

    def _services_in_use(self) -> frozenset[ServiceName]:
        known = self.board.read(CONFIGURATION).services
        used = list_services(self.board.read(EVIDENCE))
        listed = self.board.read(EJECTION_LISTS).by_service.keys()
        return frozenset(name for name in used.union(listed) if name in known)

    def _collect(self) -> None:
        for service, fut in list(self._calls.items()):
            if fut.done():
                del self._calls[service]
                self._sent[service] = fut.result()

    def _report(self, service: ServiceName) -> None:
        now_s = self.clock.monotonic_s()
        servers = make_server_reports(
            self.board.read(EVIDENCE), self.board.read(SERVER_LOADS), service, now_s
        )
        held = self.board.read(EJECTION_LISTS).by_service.get(service)
        due = is_report_due(
            self._sent.get(service),
            servers,
            slow_bucket=held.slow_bucket if held else FIRST_SLOW_BUCKET,
            has_entries=held is not None and _has_entries(held),
            now_s=now_s,
        )
        if not due:
            return
        holder = find_list_holder(self.board.read(ROSTER), service)
        if holder is not None:
            report = self._make_report(service, servers)
            self._calls[service] = self._pool.submit(
                self._call, holder, report, servers
            )

    def _make_report(
        self, service: ServiceName, servers: tuple[ServerReport, ...]
    ) -> EvidenceReport:
        self._sequence += 1
        sent = self._sent.get(service)
        return EvidenceReport(
            sender=self.own.host_id,
            incarnation=self.own.incarnation,
            sequence=self._sequence,
            domain=self.own.domain,
            service=service,
            servers=select_changed_reports(sent, servers),
            complete=sent is None or not sent.servers,
        )

    def _call(
        self, holder: Host, report: EvidenceReport, servers: tuple[ServerReport, ...]
    ) -> SentReport:
        sent_at_s = self.clock.monotonic_s()
        match self._exchange(holder, report):
            case EjectionList(service=service) as message if service == report.service:
                self._hold(service, receive_ejection_list(message, sent_at_s=sent_at_s))
                if message.wants_complete:
                    return SentReport(at_s=sent_at_s)
                return SentReport(at_s=sent_at_s, servers=servers)
            case _:
                return SentReport(at_s=sent_at_s)

    def _exchange(self, holder: Host, report: EvidenceReport) -> PeerResult:
        if holder.host_id == self.own.host_id:
            return self.judge.answer(report)
        return self.client.call(holder.peers, report, timeout_s=CALL_TIMEOUT_S)

    def _hold(self, service: ServiceName, held: EjectionListCopy) -> None:
        def take(lists: EjectionListCopies) -> EjectionListCopies:
            return evolve(lists, by_service=lists.by_service.set(service, held))

        self.board.update(EJECTION_LISTS, take, writer=self.name)


def _has_entries(held: EjectionListCopy) -> bool:
    return bool(held.ejected or held.on_trial)
