from collections.abc import Iterator
from unittest import mock

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from snipespring.decisions.claims import CLAIM_WINDOW_S, claim_table
from snipespring.records import (
    Attempt,
    Claimed,
    ClaimState,
    ClaimTable,
    Finished,
    HostId,
    KeyDigest,
    OrganisationName,
    OutcomeUnknown,
    RecordedReply,
    Released,
    RequestDigest,
)

BY = Attempt(host_id=HostId("host-0"), request_id="r")
REQUEST = RequestDigest(b"request")
DIGESTS = st.integers(0, 9).map(lambda number: KeyDigest(bytes([number])))
ORGANISATION = OrganisationName("valeters")
KINDS = st.sampled_from(["claimed", "finished", "released", "lost"])


@pytest.fixture(autouse=True, scope="module")
def small_reply_memory() -> Iterator[None]:
    with mock.patch.object(claim_table, "MAX_REPLY_MEMORY_BYTES", 25):
        yield


class ClaimTableMachine(RuleBasedStateMachine):
    """Compare the claim table with a dictionary of the times of the ends."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0
        self.table = ClaimTable()
        self.ended: dict[KeyDigest, float] = {}

    @rule(digest=DIGESTS, kind=KINDS, size=st.integers(0, 15))
    def store_claim(self, digest: KeyDigest, kind: str, size: int) -> None:
        state = self.make_state(kind, size)
        self.table = claim_table.store_claim(self.table, digest, ORGANISATION, state)
        self.ended[digest] = self.now_s + (5.0 if kind == "claimed" else 0.0)

    @rule(pause_s=st.sampled_from([0.5, 30.0, 600.0]))
    def remove_expired_claims(self, pause_s: float) -> None:
        self.now_s += pause_s
        self.table = claim_table.remove_expired_claims(self.table, now_s=self.now_s)

    @invariant()
    def claims_within_the_window_are_kept(self) -> None:
        unexpired = {
            digest
            for digest, ended_s in self.ended.items()
            if ended_s + CLAIM_WINDOW_S > self.now_s
        }
        assert unexpired <= set(self.table.claims)
        self.ended = {
            digest: at_s
            for digest, at_s in self.ended.items()
            if digest in self.table.claims
        }

    @invariant()
    def totals_match_the_claims(self) -> None:
        states = [claim.state for claim in self.table.claims.values()]
        replies = [s.reply for s in states if isinstance(s, Finished) and s.reply]
        total_bytes = sum(len(reply.body) for reply in replies)
        assert self.table.reply_bytes == total_bytes <= 25
        assert self.table.counts.get(ORGANISATION, 0) == len(states)
        scheduled = [
            digest for second in self.table.expiry_buckets.values() for digest in second
        ]
        assert sorted(scheduled) == sorted(self.table.claims)

    @invariant()
    def claims_are_removed_after_the_window(self) -> None:
        limit_s = self.now_s - 2 * CLAIM_WINDOW_S - 10.0
        assert all(ended_s > limit_s for ended_s in self.ended.values())

    def make_state(self, kind: str, size: int) -> ClaimState:
        now_s = self.now_s
        match kind:
            case "claimed":
                return Claimed(by=BY, request=REQUEST, until_s=now_s + 5.0)
            case "finished":
                reply = RecordedReply(status=200, headers=(), body=b"x" * size)
                return Finished(by=BY, request=REQUEST, reply=reply, ended_s=now_s)
            case "released":
                return Released(by=BY, ended_s=now_s)
            case _:
                return OutcomeUnknown(
                    by=BY, request=REQUEST, reason="late", ended_s=now_s
                )


TestClaimTable = ClaimTableMachine.TestCase
TestClaimTable.settings = settings(max_examples=60, stateful_step_count=30)
