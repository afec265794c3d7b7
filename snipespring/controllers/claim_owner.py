"""Remember the keys that this incarnation owns and answer other hosts about them."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import CLAIM_MEMORY, LEASE, ROSTER, TENURE
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
    ClaimMemory,
    ClaimReports,
    ClaimReportsTaken,
    ClaimRequest,
    Host,
    OwnerStanding,
)
from ..utils import Clock

__all__ = ["ClaimOwner"]

SWEEP_INTERVAL_S = 1.0


@define(kw_only=True, eq=False)
class ClaimOwner:
    """Write the claim memory region."""

    board: Board
    clock: Clock
    own: Host
    name: str = "claim_owner"
    watches = ()

    def step(self) -> float:
        """Forget the claims whose window has passed; return the pause in seconds."""
        now_s = self.clock.monotonic_s()
        self.board.update(
            CLAIM_MEMORY,
            lambda memory: remove_expired_claims(memory, now_s=now_s),
            writer=self.name,
        )
        return SWEEP_INTERVAL_S

    def answer(self, asked: ClaimRequest) -> ClaimAnswer:
        """Return whether an attempt may run, and remember it if so."""
        standing = OwnerStanding(
            own=self.own,
            roster=self.board.read(ROSTER),
            lease=self.board.read(LEASE),
            tenure=self.board.read(TENURE),
        )

        def claim(memory: ClaimMemory) -> tuple[ClaimMemory, ClaimAnswer]:
            now_s = self.clock.monotonic_s()
            return answer_claim(memory, asked, authority=standing, now_s=now_s)

        return self.board.transact(CLAIM_MEMORY, claim, writer=self.name)

    def take(self, reports: ClaimReports) -> ClaimReportsTaken:
        """Take in what became of attempts."""

        def end(memory: ClaimMemory) -> ClaimMemory:
            now_s = self.clock.monotonic_s()
            for report in reports.reports:
                memory = receive_report(memory, report, now_s=now_s)
            return memory

        self.board.update(CLAIM_MEMORY, end, writer=self.name)
        return ClaimReportsTaken()

    def take_facts(self, told: ClaimFacts) -> ClaimFactsTaken:
        """Take in what a stopping host knew of ended claims."""

        def take(memory: ClaimMemory) -> ClaimMemory:
            now_s, wall_s = self.clock.monotonic_s(), self.clock.wall_s()
            for fact in told.facts:
                memory = receive_fact(memory, fact, now_s=now_s, wall_s=wall_s)
            return memory

        self.board.update(CLAIM_MEMORY, take, writer=self.name)
        return ClaimFactsTaken()
