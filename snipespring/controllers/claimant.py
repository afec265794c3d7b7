"""Claim the idempotency key of each request that may run only once."""

from concurrent.futures import ThreadPoolExecutor

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import PENDING_REPORTS, ROSTER, STOP_STATE
from ..decisions.claims import (
    KeyAbsent,
    KeyMalformed,
    OwnerUnknown,
    add_report,
    apply_delivery_result,
    digest_request,
    due_reports,
    end_from_reply,
    find_owner,
    interpret_answer,
    issue_prefix,
    may_send,
    next_due_s,
    read_claim_key,
    refuse_malformed,
    refuse_owner_unknown,
)
from ..frontends.peers import PeerClient
from ..records import (
    Address,
    AdmittedRequest,
    Attempt,
    ClaimEnd,
    ClaimGranted,
    ClaimKey,
    ClaimRefused,
    ClaimReport,
    ClaimReports,
    ClaimReportsTaken,
    ClaimRequest,
    ClaimResult,
    EndedNotRun,
    Host,
    NotRun,
    OrganisationName,
    PeerFailed,
    PeerResult,
    PendingReport,
    Reply,
    RequestRefused,
    RunAsUpload,
    RunIdempotent,
    RunOnce,
    Serving,
    Unclaimed,
    Unknown,
)
from ..utils import Clock
from .claim_owner import ClaimOwner
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder

__all__ = ["Claimant"]

ASK_TIMEOUT_S = 0.25
ASK_ATTEMPTS = 2
REPORT_TIMEOUT_S = 0.5
REPORT_THREADS = 4
DIGEST_PREFIX_LENGTH = 12


@define(kw_only=True, eq=False)
class Claimant:
    """Ask the owner of a key before each run; write the pending reports region."""

    board: Board
    clock: Clock
    client: PeerClient
    own_host: Host
    local_owner: ClaimOwner
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    issuing_key: bytes = field(repr=False)
    name: str = "claimant"
    watches = (PENDING_REPORTS,)
    _pool: ThreadPoolExecutor = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the threads that deliver reports."""
        self._pool = ThreadPoolExecutor(REPORT_THREADS, thread_name_prefix="claims")

    def begin(self, admitted: AdmittedRequest) -> ClaimResult:
        """Claim the request's idempotency key and return whether it may run now."""
        match admitted.route.run:
            case RunIdempotent() | RunAsUpload():
                return Unclaimed()
            case RunOnce():
                return self._claim(admitted)

    def may_send(self, claim: ClaimResult) -> bool:
        """Return whether a claim still permits sending the request."""
        return may_send(claim, now_s=self.clock.monotonic_s())

    def finish(self, claim: ClaimResult, reply: Reply) -> None:
        """Report to the key's owner how a request that `begin` let run has ended."""
        match claim:
            case ClaimGranted():
                end = end_from_reply(reply, organisation=claim.organisation)
                report = ClaimReport(
                    organisation=claim.organisation,
                    digest=claim.digest,
                    by=claim.by,
                    end=end,
                )
                self._submit_report(report, claim.owner)
            case _:
                return

    def issue_prefix(self, organisation: OrganisationName | None) -> str | None:
        """Return a prefix for idempotency keys.

        Return None while this host is stopping or is not in the roster.
        """
        match self.board.read(STOP_STATE):
            case Serving() if self._is_listed():
                return issue_prefix(
                    self.issuing_key,
                    own_host=self.own_host,
                    organisation=organisation,
                    now_s=self.clock.monotonic_s(),
                )
            case _:
                return None

    def step(self) -> float | None:
        """Deliver the reports that are due; return seconds until the next is due."""
        due = due_reports(
            self.board.read(PENDING_REPORTS), now_s=self.clock.monotonic_s()
        )
        futures = [
            self._pool.submit(self.deliver_reports, owner, entries)
            for owner, entries in due.items()
        ]
        for future in futures:
            future.result()
        next_s = next_due_s(self.board.read(PENDING_REPORTS))
        if next_s is None:
            return None
        return max(0.0, next_s - self.clock.monotonic_s())

    def deliver_reports(
        self, owner: Address, entries: tuple[PendingReport, ...]
    ) -> None:
        """Send reports to the owner of their keys; retry later unless confirmed."""
        message = ClaimReports(reports=tuple(entry.report for entry in entries))
        result = self.client.call(owner, message, timeout_s=REPORT_TIMEOUT_S)
        is_confirmed = isinstance(result, ClaimReportsTaken)
        now_s = self.clock.monotonic_s()
        self.board.update(
            PENDING_REPORTS,
            lambda pending: apply_delivery_result(
                pending, entries, delivered=is_confirmed, now_s=now_s
            ),
            writer=self.name,
        )

    def _claim(self, admitted: AdmittedRequest) -> ClaimResult:
        roster = self.board.read(ROSTER)
        key = read_claim_key(
            admitted.request,
            organisation=admitted.organisation,
            issuing_key=self.issuing_key,
            roster_version=roster.version,
        )
        match key:
            case KeyAbsent():
                return Unclaimed()
            case KeyMalformed(reason=reason):
                return self._record_result(admitted, None, refuse_malformed(reason))
            case _:
                pass
        match find_owner(key, roster=roster, own_host=self.own_host):
            case OwnerUnknown() as unknown:
                return self._record_result(admitted, key, refuse_owner_unknown(unknown))
            case Host() as owner:
                return self._record_result(
                    admitted, key, self._ask_owner(admitted, key, owner)
                )

    def _ask_owner(
        self, admitted: AdmittedRequest, key: ClaimKey, owner: Host
    ) -> ClaimResult:
        requested_s = self.clock.monotonic_s()
        request = admitted.request
        claim_request = ClaimRequest(
            by=Attempt(host_id=self.own_host.host_id, request_id=request.request_id),
            organisation=admitted.organisation,
            key=key,
            request=digest_request(request),
            valid_s=max(0.0, admitted.deadline_at_s - requested_s),
        )
        result = self._call_owner(claim_request, owner, admitted.deadline_at_s)
        match result:
            case PeerFailed(reason=reason):
                self._report_not_run(claim_request, owner.peers, reason)
            case _:
                pass
        return interpret_answer(
            result, claim_request, owner=owner.peers, requested_s=requested_s
        )

    def _call_owner(
        self, claim_request: ClaimRequest, owner: Host, deadline_at_s: float
    ) -> PeerResult:
        if owner.incarnation == self.own_host.incarnation:
            return self.local_owner.answer(claim_request)
        result: PeerResult = PeerFailed(
            reason="the deadline passed before the owner was asked"
        )
        for _ in range(ASK_ATTEMPTS):
            remaining_s = deadline_at_s - self.clock.monotonic_s()
            if remaining_s <= 0:
                break
            timeout_s = min(ASK_TIMEOUT_S, remaining_s)
            result = self.client.call(owner.peers, claim_request, timeout_s=timeout_s)
            if not isinstance(result, PeerFailed):
                break
        return result

    def _report_not_run(
        self, claim_request: ClaimRequest, owner: Address, reason: str
    ) -> None:
        end: ClaimEnd = EndedNotRun(proof=f"no grant was received: {reason}")
        report = ClaimReport(
            organisation=claim_request.organisation,
            digest=claim_request.key.digest,
            by=claim_request.by,
            end=end,
        )
        self._submit_report(report, owner)

    def _submit_report(self, report: ClaimReport, owner: Address) -> None:
        if owner == self.own_host.peers:
            self.local_owner.receive_reports(ClaimReports(reports=(report,)))
            return
        now_s = self.clock.monotonic_s()
        self.board.update(
            PENDING_REPORTS,
            lambda pending: add_report(pending, report, owner=owner, now_s=now_s),
            writer=self.name,
        )

    def _is_listed(self) -> bool:
        return self.board.read(ROSTER).hosts.get(self.own_host.host_id) == self.own_host

    def _record_result(
        self, admitted: AdmittedRequest, key: ClaimKey | None, result: ClaimResult
    ) -> ClaimResult:
        self.metrics.count("claims", type(result).__name__)
        match result:
            case ClaimRefused(outcome=NotRun(reason=reason) | Unknown(reason=reason)):
                self._record_refusal(admitted, key, reason)
            case _:
                pass
        return result

    def _record_refusal(
        self, admitted: AdmittedRequest, key: ClaimKey | None, reason: str
    ) -> None:
        digest_text = (
            key.digest.hex()[:DIGEST_PREFIX_LENGTH] if key is not None else "none"
        )
        event = RequestRefused(
            at_wall_s=self.clock.wall_s(),
            request_id=admitted.request.request_id,
            organisation=admitted.organisation,
            rule="claims",
            evidence=f"{reason}; key digest {digest_text}",
        )
        self.event_recorder.record(event)
