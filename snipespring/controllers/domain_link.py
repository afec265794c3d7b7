"""Exchange host reports, digests, summaries and outcomes with other hosts.

Each host reports to the hubs of its failure domain, which answer with a digest of all
reports. The first hub of a domain sends a summary to the first hub of each other
domain.
"""

import threading
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from ..blackboard import Board
from ..blackboard.regions import (
    ANSWER_LOG,
    CONFIGURATION_FEED,
    DEMAND_LOG,
    DOMAIN_HUBS,
    DOMAIN_REPORTS,
    EVACUATION_FEED,
    EVACUATIONS,
    FLEET_VIEW,
    HOST_FEED,
    HUB_STATE,
    HUB_TENURE,
    RELAY_NOTICE,
    SERVER_FEED,
    STORE_REACH,
    STORE_RELAY,
    USAGE_LOG,
)
from ..decisions.confirmations import (
    make_confirmation,
    make_notice,
    record_confirmation,
    record_stated_version,
    set_watcher,
)
from ..decisions.domains import (
    choose_hubs,
    count_answers_by_server,
    count_usage,
    is_hub,
    list_other_hubs,
    make_digest,
    make_hub_state,
    make_request,
    make_summary,
    make_view,
    receive_report,
    receive_summary,
)
from ..decisions.outages import record_relayed_reach
from ..decisions.overload import count_demand
from ..decisions.places import make_evacuation_mark
from ..decisions.restores import newest_version
from ..decisions.server_relay import (
    answer_server_query,
    make_server_mark,
    make_server_query,
    record_server_mark,
)
from ..decisions.store_calls import (
    FirstHub,
    NoHub,
    SecondHub,
    WatchDuty,
    WatchRank,
    choose_watch_duty,
    is_relay_old,
)
from ..frontends.datagrams import DatagramSender
from ..records import (
    Address,
    AdmissionAnswer,
    AdmissionQuery,
    Confirmation,
    DomainHubs,
    DomainMessage,
    DomainState,
    DomainSummary,
    EvacuationMark,
    HostId,
    HostReport,
    HubState,
    Incarnation,
    OutcomeBatch,
    OutcomeNotification,
    PublishedHost,
    RelayNotice,
    ReportDigest,
    ServerChanges,
    ServerQuery,
    StoreRelay,
)
from ..utils import Clock
from .outcome_relay import OutcomeRelay
from .peers import is_known_domain, is_sent_by, read_known_hosts
from .readiness import is_ready
from .store_availability import read_recovery_s

__all__ = ["DomainLink"]

REPORT_INTERVAL_S = 0.25
STATE_INTERVAL_S = 0.05  # a hub sums up the reports at most this often
# A summary lists the serving hosts only if they have changed or the number of the round
# is a multiple of this.
FULL_SUMMARY_ROUNDS = 8
# While the first hub answers, the second one gets every third report, which is often
# enough to count as heard and to be known as serving when it replaces the first one.
BACKUP_REPORT_ROUNDS = 3
HUB_TIMEOUT_S = 1.0  # a hub that answers no report for this long is silent
# The reports of so many rounds are kept, since their digests may still arrive.
MAX_PENDING_REPORTS = 8
HUB_RETRY_S = 4.0  # a silent hub is used again after this time


@frozen(kw_only=True)
class _SentReport:
    report: HostReport
    sent_s: float


def _ignore(_message: DomainMessage, _sender: Address) -> None:
    """Ignore a message for which no receiver is set."""


@define(kw_only=True, eq=False)
class DomainLink:
    """Write the domain hubs and reports, the hub state, the view and the relay.

    Usage is counted over the last `window_s` seconds. `on_server_changes` is called
    with each reply to a query for changes to servers, `on_evacuations` with what each
    digest states of evacuations and when its sender reached the store, and the other
    functions with the queries for admissions and their answers. After `outage_s`
    seconds in which no host reached the store, it counts as having been away. Retries
    are counted over the last `retry_window_s` seconds.
    """

    board: Board
    clock: Clock
    datagrams: DatagramSender
    own_host: PublishedHost
    incarnation: Incarnation
    window_s: float
    outage_s: float
    outcome_relay: OutcomeRelay
    on_server_changes: Callable[[ServerChanges], None]
    on_evacuations: Callable[[EvacuationMark | None, float | None], None]
    retry_window_s: float = 10.0
    on_admission_query: Callable[[AdmissionQuery, Address], None] = _ignore
    on_admission_answer: Callable[[AdmissionAnswer, Address], None] = _ignore
    name: str = "domain_link"
    watches = ()
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _sequence: int = field(default=0, init=False)
    _unanswered_since_s: dict[HostId, float] = field(factory=dict, init=False)
    _silent_since_s: dict[HostId, float] = field(factory=dict, init=False)
    _sent: dict[int | None, _SentReport] = field(factory=dict, init=False)
    _last_sent_serving: tuple[HostId, ...] | None = field(default=None, init=False)
    _watch_duty: WatchDuty = field(factory=WatchDuty, init=False)

    def step(self) -> float:
        """Report to the hubs; as the first hub, send a summary to the other domains."""
        now_s = self.clock.monotonic_s()
        self._sequence += 1
        report = self._make_report(now_s)
        hosts = read_known_hosts(self.board, self.own_host)
        with self._lock:
            hubs = choose_hubs(
                hosts,
                self.own_host.domain,
                silent=self._list_silent_hubs(now_s),
            )
        self._update_hubs(DomainHubs(hubs=hubs))
        if is_hub(hubs, self.own_host.host_id):
            self._receive_report(report)
        domain_hosts = sum(host.domain == self.own_host.domain for host in hosts)
        for hub in hubs:
            request = make_request(
                self.board.read(FLEET_VIEW),
                is_first_hub=hub is hubs[0],
                domain_hosts=domain_hosts,
                now_s=now_s,
            )
            is_due = request is not None or self._sequence % BACKUP_REPORT_ROUNDS == 0
            # The second hub may reach the store while the first one does not.
            is_due = is_due or is_relay_old(self.board.read(STORE_RELAY), now_s=now_s)
            if hub.host_id != self.own_host.host_id:
                if is_due:
                    self._send_report(hub, evolve(report, request=request), now_s)
            elif request is not None:
                self._update_own_view(now_s)
        is_first = bool(hubs) and hubs[0].host_id == self.own_host.host_id
        is_watcher = self._update_duty(hubs, now_s)
        self._update_relay(lambda relay: set_watcher(relay, is_watcher=is_watcher))
        if is_first:
            self._send_summary(now_s)
        return REPORT_INTERVAL_S

    def receive(self, message: DomainMessage, sender: Address) -> None:
        """Process a message of another host."""
        match message:
            case HostReport():
                self._note_version(message.configuration)
                self._receive_report(message)
                self._send_digest(message, sender)
            case ReportDigest():
                self._receive_digest(message, sender)
            case OutcomeNotification():
                self.outcome_relay.receive(message, sender)
            case OutcomeBatch():
                self.outcome_relay.receive_batch(message, sender)
            case DomainSummary(domain=domain) if domain != self.own_host.domain:
                self._relay_summary(message, sender)
                self._note_version(message.configuration)
                now_s = self.clock.monotonic_s()
                self.board.update(
                    DOMAIN_REPORTS,
                    lambda reports: receive_summary(reports, message, now_s=now_s),
                    writer=self.name,
                )
            case DomainSummary():
                return
            case ServerQuery():
                self._answer_server_query(message, sender)
            case ServerChanges():
                if is_sent_by(self.board, message.sender, sender):
                    self.on_server_changes(message)
            case AdmissionQuery():
                self.on_admission_query(message, sender)
            case AdmissionAnswer():
                self.on_admission_answer(message, sender)

    def report_now(self) -> None:
        """Report at once, because this host begins to leave."""
        self.step()

    def _update_duty(self, hubs: tuple[PublishedHost, ...], now_s: float) -> bool:
        """Return whether this host watches the store for its failure domain."""
        own_id = self.own_host.host_id
        # Before the first listing every host takes itself for the only one.
        is_listed = self.board.read(HOST_FEED).confirmed_s is not None
        rank: WatchRank = NoHub()
        if is_listed and is_hub(hubs, own_id):
            is_first = hubs[0].host_id == own_id
            rank = FirstHub() if is_first else SecondHub()
        self._watch_duty = choose_watch_duty(
            self._watch_duty,
            rank,
            self.board.read(STORE_RELAY),
            self.board.read(STORE_REACH),
            now_s=now_s,
        )
        return self._watch_duty.is_watcher

    def _update_hubs(self, hubs: DomainHubs) -> None:
        self.board.update(
            DOMAIN_HUBS, lambda old: old if old == hubs else hubs, writer=self.name
        )

    def _update_relay(self, change: Callable[[StoreRelay], StoreRelay]) -> None:
        self.board.update(STORE_RELAY, change, writer=self.name)

        def notify(old: RelayNotice) -> RelayNotice:
            # Another thread may have changed the relay again meanwhile.
            notice = make_notice(self.board.read(STORE_RELAY))
            return old if old == notice else notice

        self.board.update(RELAY_NOTICE, notify, writer=self.name)

    def _note_version(self, version: int) -> None:
        """Record the newest configuration version that a host knows."""
        if version > self.board.read(STORE_RELAY).stated_version:
            self._update_relay(lambda relay: record_stated_version(relay, version))

    def _relay_summary(self, summary: DomainSummary, sender: Address) -> None:
        """Forward a summary to this domain's other hubs unless a hub forwarded it."""
        if not is_sent_by(self.board, summary.sender, sender):
            return
        hosts = read_known_hosts(self.board, self.own_host)
        for hub in choose_hubs(hosts, self.own_host.domain, silent=frozenset()):
            if hub.host_id != self.own_host.host_id:
                self.datagrams.send(hub.peers, summary)

    def _make_report(self, now_s: float) -> HostReport:
        board = self.board
        return HostReport(
            host=self.own_host,
            incarnation=self.incarnation,
            sequence=self._sequence,
            is_serving=is_ready(board, now_s),
            usage=count_usage(
                board.read(USAGE_LOG), window_s=self.window_s, now_s=now_s
            ),
            answers=count_answers_by_server(board.read(ANSWER_LOG), now_s=now_s),
            demand=count_demand(
                board.read(DEMAND_LOG), window_s=self.retry_window_s, now_s=now_s
            ),
            configuration=newest_version(board.read(CONFIGURATION_FEED)),
        )

    def _receive_report(self, report: HostReport) -> None:
        now_s = self.clock.monotonic_s()
        self.board.update(
            DOMAIN_REPORTS,
            lambda reports: receive_report(reports, report, now_s=now_s),
            writer=self.name,
        )

    def _send_digest(self, report: HostReport, sender: Address) -> None:
        now_s = self.clock.monotonic_s()
        is_asked = report.request is not None
        hub_state = self._get_state(now_s) if is_asked else HubState()
        digest = make_digest(hub_state, self.own_host.host_id, report)
        feed = self.board.read(CONFIGURATION_FEED)
        confirmation = make_confirmation(
            feed,
            self.board.read(STORE_RELAY),
            self.board.read(STORE_REACH),
            now_s=now_s,
        )
        mark = make_server_mark(self.board.read(SERVER_FEED))
        digest = evolve(
            digest,
            confirmation=confirmation,
            servers=mark,
            evacuations=self._make_evacuation_mark(now_s),
        )
        self.datagrams.send(sender, digest)

    def _make_evacuation_mark(self, now_s: float) -> EvacuationMark | None:
        return make_evacuation_mark(
            self.board.read(EVACUATION_FEED),
            self.board.read(EVACUATIONS),
            lambda domain: is_known_domain(self.board, self.own_host, domain),
            now_s=now_s,
        )

    def _receive_digest(self, digest: ReportDigest, sender: Address) -> None:
        if digest.incarnation != self.incarnation:
            return
        with self._lock:
            self._unanswered_since_s.pop(digest.sender, None)
            self._silent_since_s.pop(digest.sender, None)
            answered = self._sent.get(digest.sequence)
            included = self._sent.get(digest.included_sequence)
        if answered is not None and is_sent_by(self.board, digest.sender, sender):
            self._use_relay(digest, sender, sent_s=answered.sent_s)
        if digest.state is not None:
            own = None if included is None else included.report
            self._update_view(digest.state, own)

    def _use_relay(
        self, digest: ReportDigest, sender: Address, *, sent_s: float
    ) -> None:
        """Record what a digest relays; ask its sender for changes to servers."""
        servers, now_s = self.board.read(SERVER_FEED), self.clock.monotonic_s()
        mark = digest.servers

        def record(relay: StoreRelay) -> StoreRelay:
            relay = record_confirmation(relay, digest.confirmation, sent_s=sent_s)
            relay = record_relayed_reach(
                relay, digest.confirmation, sent_s=sent_s, outage_s=self.outage_s
            )
            return record_server_mark(relay, servers, mark, now_s=now_s)

        self._update_relay(record)
        reached_s = _reached_s(digest.confirmation, sent_s)
        self.on_evacuations(digest.evacuations, reached_s)
        query = make_server_query(servers, mark, self.own_host.host_id)
        if query is not None:
            self.datagrams.send(sender, query)

    def _answer_server_query(self, query: ServerQuery, sender: Address) -> None:
        recovered_s = read_recovery_s(self.board, outage_s=self.outage_s)
        now_s = self.clock.monotonic_s()
        changes = answer_server_query(
            self.board.read(SERVER_FEED),
            query,
            self.own_host.host_id,
            recovered_age_s=None if recovered_s is None else now_s - recovered_s,
        )
        if changes is not None:
            self.datagrams.send(sender, changes)

    def _get_state(self, now_s: float) -> HubState:
        """Return the state for the hosts of this domain, summed up lately."""
        hub_state = self.board.read(HUB_STATE)
        if hub_state.as_of_s is None or now_s - hub_state.as_of_s >= STATE_INTERVAL_S:
            hub_state = make_hub_state(
                self.board.read(DOMAIN_REPORTS), window_s=self.window_s, now_s=now_s
            )
            self.board.write(HUB_STATE, hub_state, writer=self.name)
        return hub_state

    def _update_own_view(self, now_s: float) -> None:
        hub_state = self._get_state(now_s)
        if hub_state.state is not None:
            own = hub_state.included.get(self.own_host.host_id)
            self._update_view(hub_state.state, own)

    def _update_view(self, state: DomainState, own: HostReport | None) -> None:
        now_s = self.clock.monotonic_s()
        self.board.update(
            FLEET_VIEW,
            lambda view: make_view(state, own, view, now_s=now_s),
            writer=self.name,
        )

    def _send_report(
        self, hub: PublishedHost, report: HostReport, now_s: float
    ) -> None:
        with self._lock:
            self._unanswered_since_s.setdefault(hub.host_id, now_s)
            self._sent[report.sequence] = _SentReport(report=report, sent_s=now_s)
            # The reports to a second hub alone leave out sequence numbers.
            self._sent = {
                sequence: sent
                for sequence, sent in self._sent.items()
                if sent.report.sequence > report.sequence - MAX_PENDING_REPORTS
            }
        self.datagrams.send(hub.peers, report)

    def _list_silent_hubs(self, now_s: float) -> frozenset[HostId]:
        for host_id, first_sent_s in list(self._unanswered_since_s.items()):
            if now_s - first_sent_s > HUB_TIMEOUT_S:
                del self._unanswered_since_s[host_id]
                self._silent_since_s[host_id] = now_s
        for host_id, silent_since_s in list(self._silent_since_s.items()):
            if now_s - silent_since_s > HUB_RETRY_S:
                del self._silent_since_s[host_id]
        return frozenset(self._silent_since_s)

    def _send_summary(self, now_s: float) -> None:
        summary = make_summary(
            self.board.read(DOMAIN_REPORTS),
            self.own_host.host_id,
            self.own_host.domain,
            window_s=self.window_s,
            now_s=now_s,
        )
        hub_since_s = self.board.read(HUB_TENURE).hub_since_s
        if hub_since_s is None or now_s - hub_since_s < self.window_s:
            reported_s = 0.0 if hub_since_s is None else now_s - hub_since_s
            summary = evolve(summary, reported_s=reported_s)
        feed = self.board.read(CONFIGURATION_FEED)
        summary = evolve(
            summary, configuration=max(newest_version(feed), feed.stated_version)
        )
        is_full_due = self._sequence % FULL_SUMMARY_ROUNDS == 0
        if summary.serving == self._last_sent_serving and not is_full_due:
            summary = evolve(summary, serving=None)
        else:
            self._last_sent_serving = summary.serving
        hubs = list_other_hubs(
            read_known_hosts(self.board, self.own_host),
            self.board.read(FLEET_VIEW),
            self.own_host,
        )
        self.datagrams.send_all(tuple(hub.peers for hub in hubs), summary)


def _reached_s(confirmation: Confirmation | None, sent_s: float) -> float | None:
    """Return when the sender of a digest reached the store at the latest."""
    return None if confirmation is None else sent_s - confirmation.reached_age_s
