"""Remember the keys that this incarnation owns and answer other hosts about them."""

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
    """Write the claim memory region."""

    board: Board
    clock: Clock
    own_host: Host
    name: str = "claim_owner"
    watches = ()

    def step(self) -> float:
        """Forget the claims whose window has passed; return the pause in seconds."""
        now_s = self.clock.monotonic_s()
        self.board.update(
            CLAIM_TABLE,
            lambda memory: remove_expired_claims(memory, now_s=now_s),
            writer=self.name,
        )
        return EXPIRY_INTERVAL_S

    def answer(self, claim_request: ClaimRequest) -> ClaimAnswer:
        """Return whether an attempt may run, and remember it if so."""
        standing = OwnerAuthority(
            own=self.own_host,
            roster=self.board.read(ROSTER),
            lease=self.board.read(LEASE),
            tenure=self.board.read(ROSTER_TENURE),
        )

        def claim(memory: ClaimTable) -> tuple[ClaimTable, ClaimAnswer]:
            now_s = self.clock.monotonic_s()
            return answer_claim(memory, claim_request, authority=standing, now_s=now_s)

        return self.board.transact(CLAIM_TABLE, claim, writer=self.name)

    def receive_reports(self, reports: ClaimReports) -> ClaimReportsTaken:
        """Take in what became of attempts."""

        def end(memory: ClaimTable) -> ClaimTable:
            now_s = self.clock.monotonic_s()
            for report in reports.reports:
                memory = receive_report(memory, report, now_s=now_s)
            return memory

        self.board.update(CLAIM_TABLE, end, writer=self.name)
        return ClaimReportsTaken()

    def receive_facts(self, message: ClaimFacts) -> ClaimFactsTaken:
        """Take in what a stopping host knew of ended claims."""

        def take(memory: ClaimTable) -> ClaimTable:
            now_s, wall_s = self.clock.monotonic_s(), self.clock.wall_s()
            for fact in message.facts:
                memory = receive_fact(memory, fact, now_s=now_s, wall_s=wall_s)
            return memory

        self.board.update(CLAIM_TABLE, take, writer=self.name)
        return ClaimFactsTaken()
