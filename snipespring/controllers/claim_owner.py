"""Record claims of the idempotency keys that this process owns; answer requests."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import CLAIM_TABLE, LEASE, ROSTER, ROSTER_TENURE
from ..decisions.claims import (
    answer_claim,
    receive_fact,
    receive_report,
    remove_expired_claims,
)
from ..records import (
    ClaimAnswer,
    ClaimFacts,
    ClaimFactsTaken,
    ClaimReports,
    ClaimReportsTaken,
    ClaimRequest,
    ClaimTable,
    Host,
    OwnerAuthority,
)
from ..utils import Clock

__all__ = ["ClaimOwner"]

EXPIRY_INTERVAL_S = 1.0


@define(kw_only=True, eq=False)
class ClaimOwner:
    """Write the claim table region."""

    board: Board
    clock: Clock
    own_host: Host
    name: str = "claim_owner"
    watches = ()

    def step(self) -> float:
        """Remove expired claims; return the seconds until the next call."""
        now_s = self.clock.monotonic_s()
        self.board.update(
            CLAIM_TABLE,
            lambda table: remove_expired_claims(table, now_s=now_s),
            writer=self.name,
        )
        return EXPIRY_INTERVAL_S

    def answer(self, claim_request: ClaimRequest) -> ClaimAnswer:
        """Return whether an attempt may run, and record its claim if so."""
        authority = OwnerAuthority(
            own=self.own_host,
            roster=self.board.read(ROSTER),
            lease=self.board.read(LEASE),
            tenure=self.board.read(ROSTER_TENURE),
        )

        def claim(table: ClaimTable) -> tuple[ClaimTable, ClaimAnswer]:
            now_s = self.clock.monotonic_s()
            return answer_claim(table, claim_request, authority=authority, now_s=now_s)

        return self.board.transact(CLAIM_TABLE, claim, writer=self.name)

    def receive_reports(self, reports: ClaimReports) -> ClaimReportsTaken:
        """Record the outcomes of attempts."""

        def record(table: ClaimTable) -> ClaimTable:
            now_s = self.clock.monotonic_s()
            for report in reports.reports:
                table = receive_report(table, report, now_s=now_s)
            return table

        self.board.update(CLAIM_TABLE, record, writer=self.name)
        return ClaimReportsTaken()

    def receive_facts(self, message: ClaimFacts) -> ClaimFactsTaken:
        """Record the ended claims that a stopping host knows of."""

        def record(table: ClaimTable) -> ClaimTable:
            now_s, wall_s = self.clock.monotonic_s(), self.clock.wall_s()
            for fact in message.facts:
                table = receive_fact(table, fact, now_s=now_s, wall_s=wall_s)
            return table

        self.board.update(CLAIM_TABLE, record, writer=self.name)
        return ClaimFactsTaken()
