"""Send the ended claims in the claim table to their next owners as a host stops."""

from concurrent.futures import ThreadPoolExecutor

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import CLAIM_TABLE, ROSTER
from ..decisions.claims import collect_facts
from ..frontends.peers import PeerClient
from ..records import ClaimFact, ClaimFacts, ClaimFactsTaken, Host
from ..utils import Clock

__all__ = ["ClaimHandoverSender"]

HANDOVER_THREADS = 8
HANDOVER_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 0.5
FACTS_PER_CALL = 64


@define(kw_only=True, eq=False)
class ClaimHandoverSender:
    """Send each host the claims that it will own, once and within a time limit."""

    board: Board
    clock: Clock
    client: PeerClient
    own_host: Host

    def hand_over(self) -> None:
        """Send every ended claim to the next owner of its key."""
        now_s = self.clock.monotonic_s()
        facts = collect_facts(
            self.board.read(CLAIM_TABLE),
            roster=self.board.read(ROSTER),
            own_host=self.own_host,
            now_s=now_s,
            wall_s=self.clock.wall_s(),
        )
        end_s = now_s + HANDOVER_TIMEOUT_S
        with ThreadPoolExecutor(HANDOVER_THREADS) as pool:
            for host, host_facts in facts.items():
                pool.submit(self.send_facts, host, host_facts, end_s)

    def send_facts(
        self, host: Host, facts: tuple[ClaimFact, ...], end_s: float
    ) -> None:
        """Send facts to one host in batches, until a call fails or `end_s` passes."""
        for first in range(0, len(facts), FACTS_PER_CALL):
            if self.clock.monotonic_s() >= end_s:
                return
            message = ClaimFacts(facts=facts[first : first + FACTS_PER_CALL])
            result = self.client.call(host.peers, message, timeout_s=CALL_TIMEOUT_S)
            match result:
                case ClaimFactsTaken():
                    continue
                case _:
                    return
