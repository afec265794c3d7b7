from unittest.mock import Mock

import pytest

from snipespring.blackboard import Board
from snipespring.blackboard.regions import CONFIGURATION, EVENTS, LEASE
from snipespring.controllers import (
    Claimant,
    EventRecorder,
    Forwarder,
    Limiter,
    MetricsRecorder,
    Sender,
)
from snipespring.decisions.keys import digest_key
from snipespring.decisions.rules import (
    ParsedRules,
    make_configuration,
    parse_rules,
)
from snipespring.records import (
    Admitted,
    ClaimRefused,
    Header,
    LeaseHeld,
    NotRun,
    OverLimit,
    Reply,
    Request,
)
from snipespring.utils import ManualClock

API_KEY = "the-test-key-of-valeters"
RULES = f"""
service ledger  # Aoife
server ledger 127.0.0.1:9001 domain=a  # Aoife
route POST /ledger service=ledger run=once  # Aoife
organisation valeters rate=9/s burst=9  # Aoife
key valeters sha256:{digest_key(API_KEY)}  # Aoife
"""


@pytest.fixture
def forwarder() -> Forwarder:
    board = Board()
    return Forwarder(
        board=board,
        clock=ManualClock(),
        event_recorder=EventRecorder(board=board),
        metrics=MetricsRecorder(board=board),
        limiter=Mock(spec=Limiter),
        claimant=Mock(spec=Claimant),
        sender=Mock(spec=Sender),
    )


def configure(forwarder: Forwarder) -> None:
    parsed = parse_rules(RULES.encode())
    assert isinstance(parsed, ParsedRules)
    cfg = make_configuration(tuple(parsed_rule.rule for parsed_rule in parsed.rules), 1)
    forwarder.board.write(CONFIGURATION, cfg, writer=CONFIGURATION.writer)
    lease = LeaseHeld(until_s=forwarder.clock.monotonic_s() + 1.0)
    forwarder.board.write(LEASE, lease, writer=LEASE.writer)


def post(forwarder: Forwarder, key: str = API_KEY) -> Reply:
    header = Header(name="Api-Key", value=key)
    request = Request(
        request_id="r1", method="POST", path="/ledger/x", headers=(header,)
    )
    return forwarder.handle(request, lambda: False)


def test_host_without_configuration_refuses_with_retry_after(
    forwarder: Forwarder,
) -> None:
    reply = post(forwarder)
    assert reply.status == 503
    assert isinstance(reply.outcome, NotRun)
    assert reply.outcome.retry_after_s is not None


def test_invalid_key_is_refused_without_retry_after(forwarder: Forwarder) -> None:
    configure(forwarder)
    reply = post(forwarder, "another-key-of-nobody")
    assert reply.status == 401
    assert reply.outcome == NotRun(reason="the key is not valid")


def test_route_with_keys_is_refused_after_the_lease_ended(forwarder: Forwarder) -> None:
    configure(forwarder)
    assert isinstance(forwarder.clock, ManualClock)
    forwarder.clock.advance(1.0)
    reply = post(forwarder)
    assert reply.status == 503
    assert reply.outcome == NotRun(reason="the lease ended", retry_after_s=0.2)


def test_request_over_the_limit_is_never_claimed(forwarder: Forwarder) -> None:
    configure(forwarder)
    over = OverLimit(reason="over 9/s", retry_after_s=0.5)
    forwarder.limiter.admit.return_value = over  # type: ignore[attr-defined]
    reply = post(forwarder)
    assert reply.status == 429
    assert reply.outcome == NotRun(reason="over 9/s", retry_after_s=0.5)
    forwarder.claimant.begin.assert_not_called()  # type: ignore[attr-defined]


def test_refused_claim_gets_the_status_and_outcome_of_the_claimant(
    forwarder: Forwarder,
) -> None:
    configure(forwarder)
    refused = ClaimRefused(outcome=NotRun(reason="another body"), status=422)
    forwarder.limiter.admit.return_value = Admitted()  # type: ignore[attr-defined]
    forwarder.claimant.begin.return_value = refused  # type: ignore[attr-defined]
    reply = post(forwarder)
    assert (reply.status, reply.outcome) == (422, refused.outcome)
    assert forwarder.board.read(EVENTS).latest == ()
