from unittest import mock

import pytest
from attrs import evolve

from snipespring.blackboard.regions import EVENTS, PENDING_REPORTS
from snipespring.decisions.claims import CLAIM_WINDOW_S, claim_table
from snipespring.decisions.claims.constants import TAKEOVER_WAIT_S
from snipespring.decisions.membership import change_roster
from snipespring.records import (
    ClaimGranted,
    ClaimRefused,
    ClaimRepeated,
    ClaimResult,
    NotRun,
    Outcome,
    Ran,
    Reply,
    RequestRefused,
    RunIdempotent,
    Unclaimed,
    Unknown,
)
from snipespring.utils import ManualClock

from .claims_fleet import (
    LEASE_S,
    FakeHost,
    Network,
    ReplyLost,
    RequestLost,
    SkewedClock,
    make_host,
    make_roster,
)


class HostPair:
    """Connect two hosts, of which the first issued the key."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.network = Network()
        self.owner, self.other = (
            FakeHost(
                host=make_host(index, index),
                clock=SkewedClock(base=self.clock, offset_s=index * 5e5),
                network=self.network,
            )
            for index in range(2)
        )
        for host in (self.owner, self.other):
            host.adopt_roster(make_roster(7, [self.owner.host, self.other.host]))
        self.key = self.owner.issue_key("text") or ""
        self.requests = 0

    def claim(self, host: FakeHost, key: str = "", body: bytes = b"") -> ClaimResult:
        self.requests += 1
        admitted = host.make_admitted_request(
            f"r-{self.requests}", key or self.key, body
        )
        return host.claimant.begin(admitted)

    def finish(self, host: FakeHost, claim: ClaimResult, outcome: Outcome) -> None:
        reply = Reply(request_id="r", status=201, outcome=outcome, body=b"answer")
        host.claimant.finish(claim, reply)
        host.deliver_reports()


@pytest.fixture
def pair() -> HostPair:
    return HostPair()


def refusal_status(result: ClaimResult) -> tuple[int, type[Outcome]]:
    assert isinstance(result, ClaimRefused)
    return result.status, type(result.outcome)


def test_repeats_get_the_first_answer(pair: HostPair) -> None:
    claim = pair.claim(pair.other)
    assert isinstance(claim, ClaimGranted)
    assert refusal_status(pair.claim(pair.owner)) == (409, Unknown)
    pair.finish(pair.other, claim, Ran())
    for host in (pair.owner, pair.other):
        repeated = pair.claim(host)
        assert isinstance(repeated, ClaimRepeated)
        assert (repeated.reply.status, repeated.reply.body) == (201, b"answer")
    assert refusal_status(pair.claim(pair.other, body=b"else")) == (422, NotRun)


def test_key_is_released_when_the_request_did_not_run(pair: HostPair) -> None:
    pair.finish(pair.other, pair.claim(pair.other), NotRun(reason="shed"))
    assert isinstance(pair.claim(pair.owner), ClaimGranted)


def test_request_with_an_unknown_outcome_is_never_repeated(pair: HostPair) -> None:
    pair.finish(pair.other, pair.claim(pair.other), Unknown(reason="late"))
    assert refusal_status(pair.claim(pair.owner)) == (409, Unknown)


def test_outcome_is_unknown_for_good_if_a_host_stops_responding(pair: HostPair) -> None:
    claim = pair.claim(pair.other)
    pair.clock.advance(2.0)
    assert not pair.other.claimant.may_send(claim)
    assert refusal_status(pair.claim(pair.owner)) == (409, Unknown)
    pair.clock.advance(2.0)
    match pair.claim(pair.owner):
        case ClaimRefused(outcome=Unknown(retry_after_s=retry_after_s)):
            assert retry_after_s is None
        case other:
            raise AssertionError(other)


@pytest.mark.parametrize("effect", [RequestLost(), ReplyLost()])
def test_lost_call_is_retried_as_the_same_attempt(
    pair: HostPair, effect: RequestLost | ReplyLost
) -> None:
    pair.network.effects = [effect]
    assert isinstance(pair.claim(pair.other), ClaimGranted)


@pytest.mark.parametrize("effect", [RequestLost(), ReplyLost()])
def test_grant_that_was_not_received_is_released(
    pair: HostPair, effect: RequestLost | ReplyLost
) -> None:
    pair.network.effects = [effect, effect]
    assert refusal_status(pair.claim(pair.other)) == (503, Unknown)
    pair.other.deliver_reports()
    assert not pair.other.board.read(PENDING_REPORTS).by_attempt
    assert isinstance(pair.claim(pair.owner), ClaimGranted)


def test_reports_are_retried_later_until_confirmed(pair: HostPair) -> None:
    claim = pair.claim(pair.other)
    pair.network.effects = [RequestLost()]
    pair.finish(pair.other, claim, Ran())
    pair.other.deliver_reports()
    assert len(pair.other.board.read(PENDING_REPORTS).by_attempt) == 1
    pair.clock.advance(1.0)
    assert pair.other.claimant.step() is None
    assert isinstance(pair.claim(pair.owner), ClaimRepeated)


def test_keys_of_an_unlisted_host_are_refused_as_unknown(pair: HostPair) -> None:
    pair.other.adopt_roster(make_roster(8, [pair.other.host]))
    assert refusal_status(pair.claim(pair.other)) == (409, Unknown)
    pair.owner.adopt_roster(make_roster(8, [pair.other.host]))
    assert pair.owner.issue_key("text") is None


def test_expired_prefixes_are_refused_as_unknown(pair: HostPair) -> None:
    pair.clock.advance(CLAIM_WINDOW_S)
    assert refusal_status(pair.claim(pair.other)) == (409, Unknown)


def test_invalid_keys_are_refused_as_not_run(pair: HostPair) -> None:
    for key in ("two words", "sk1.forged", pair.key.replace("host-0", "host-1")):
        assert refusal_status(pair.claim(pair.other, key)) == (400, NotRun)


def test_full_claim_table_refuses_new_keys_as_not_run(pair: HostPair) -> None:
    with mock.patch.object(claim_table, "MAX_CLAIMS_PER_ORGANISATION", 1):
        first = pair.claim(pair.other)
        assert refusal_status(pair.claim(pair.other, pair.key + "2")) == (503, NotRun)
        pair.finish(pair.other, first, Ran())
        assert isinstance(pair.claim(pair.owner), ClaimRepeated)


def test_refusal_events_do_not_contain_the_key(pair: HostPair) -> None:
    pair.claim(pair.other)
    pair.claim(pair.owner)
    (event,) = pair.owner.board.read(EVENTS).latest
    assert isinstance(event, RequestRefused) and event.rule == "claims"
    assert pair.key not in str(event)


def test_other_routes_and_keyless_requests_need_no_claim(pair: HostPair) -> None:
    admitted = pair.other.make_admitted_request("r", pair.key, b"")
    route = evolve(admitted.route, run=RunIdempotent())
    other_route = evolve(admitted, route=route)
    keyless = evolve(admitted, request=evolve(admitted.request, headers=()))
    for request in (other_route, keyless):
        assert pair.other.claimant.begin(request) == Unclaimed()


def start_single_host(pair: HostPair, version: int) -> FakeHost:
    host = FakeHost(
        host=make_host(2, 2),
        clock=SkewedClock(base=pair.clock, offset_s=0.0),
        network=Network(),
    )
    host.adopt_roster(make_roster(version, [host.host]))
    return host


def test_new_owner_of_plain_keys_waits_for_fence_and_window(pair: HostPair) -> None:
    host = start_single_host(pair, 7)
    assert refusal_status(pair.claim(host, "plain")) == (503, Unknown)
    host.renew_lease()
    assert refusal_status(pair.claim(host, "plain")) == (409, Unknown)
    host.fence(7)
    assert refusal_status(pair.claim(host, "plain")) == (409, Unknown)
    pair.clock.advance(TAKEOVER_WAIT_S)
    host.tenure.step()
    assert refusal_status(pair.claim(host, "plain")) == (503, Unknown)
    host.renew_lease()
    assert isinstance(pair.claim(host, "plain"), ClaimGranted)
    pair.clock.advance(LEASE_S)
    assert refusal_status(pair.claim(host, "other")) == (503, Unknown)


def test_missed_roster_version_restarts_the_wait(pair: HostPair) -> None:
    host = start_single_host(pair, 7)
    host.fence(7)
    pair.clock.advance(TAKEOVER_WAIT_S)
    for version, expected in ((8, ClaimGranted), (10, ClaimRefused)):
        host.adopt_roster(make_roster(version, [host.host]))
        host.renew_lease()
        assert isinstance(pair.claim(host, f"plain-{version}"), expected)


def test_missed_version_that_the_roster_records_restarts_no_wait(
    pair: HostPair,
) -> None:
    host = start_single_host(pair, 7)
    host.fence(7)
    pair.clock.advance(TAKEOVER_WAIT_S)
    other = pair.other.host
    joined = change_roster(make_roster(7, [host.host]), joined=(other,))
    left = change_roster(evolve(joined, version=8), left=(other.host_id,))
    host.adopt_roster(evolve(left, version=9))
    host.renew_lease()
    results = {type(pair.claim(host, f"plain-{number}")) for number in range(20)}
    assert results == {ClaimGranted, ClaimRefused}


def test_first_host_of_a_new_fleet_owns_plain_keys_at_once(pair: HostPair) -> None:
    host = start_single_host(pair, 1)
    host.renew_lease()
    assert isinstance(pair.claim(host, "plain"), ClaimGranted)
