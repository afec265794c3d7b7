from collections import Counter

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from snipespring.decisions.queueing import (
    Joined,
    QueueRefused,
    count_waiters,
    join_queue,
    leave_queue,
    queue_of,
    serve_waiter,
)
from snipespring.records import (
    DomainName,
    OrganisationName,
    Placement,
    RequestQueues,
    ServiceName,
    SlotRequest,
)

SERVICE = ServiceName("ledger")
BOUND = 12
ORGANISATIONS = [OrganisationName(name) for name in ("large", "small", "other")]


def join(
    queues: RequestQueues,
    organisation: OrganisationName,
    deadline_at_s: float = 100.0,
    service_s: float = 0.02,
) -> Joined | QueueRefused:
    wanted = SlotRequest(
        service=SERVICE,
        organisation=organisation,
        placement=Placement(domain=DomainName("near")),
        deadline_at_s=deadline_at_s,
    )
    return join_queue(
        queues, wanted, bound=BOUND, in_flight=2, service_s=service_s, now_s=0.0
    )


def order(queues: RequestQueues) -> list[OrganisationName | None]:
    return [one.slot_request.organisation for one in queue_of(queues, SERVICE).queued]


def test_small_organisation_goes_after_at_most_one_of_the_large_one() -> None:
    queues = RequestQueues()
    for name in ["large"] * 6 + ["small"]:
        joined = join(queues, OrganisationName(name))
        assert isinstance(joined, Joined)
        queues = joined.queues
    assert order(queues).index(OrganisationName("small")) <= 1


def test_request_that_would_come_too_late_is_refused_at_once() -> None:
    queues = RequestQueues()
    for _ in range(4):
        joined = join(queues, ORGANISATIONS[0])
        assert isinstance(joined, Joined)
        queues = joined.queues
    refused = join(queues, ORGANISATIONS[0], deadline_at_s=0.069)
    assert isinstance(refused, QueueRefused)
    assert refused.retry_after_s == pytest.approx(0.05)
    assert isinstance(join(queues, ORGANISATIONS[0], deadline_at_s=0.071), Joined)
    assert isinstance(join(queues, ORGANISATIONS[1], deadline_at_s=0.051), Joined)


class QueueMachine(RuleBasedStateMachine):
    """Compare the queue with a plain list and bound each organisation's lead."""

    def __init__(self) -> None:
        super().__init__()
        self.queues = RequestQueues()
        self.held: dict[int, OrganisationName] = {}
        self.served_while_waiting: dict[int, Counter[OrganisationName]] = {}

    @rule(organisation=st.sampled_from(ORGANISATIONS))
    def join(self, organisation: OrganisationName) -> None:
        counts = Counter(self.held.values())
        match join(self.queues, organisation):
            case QueueRefused():
                assert len(self.held) == BOUND
                assert counts[organisation] + 1 >= max(counts.values())
            case Joined(queues=queues, waiter=waiter, evicted=evicted):
                self.queues = queues
                self.held[waiter.ticket] = organisation
                self.served_while_waiting[waiter.ticket] = Counter()
                if evicted is not None:
                    most = max(counts.values())
                    assert counts[self.held.pop(evicted.ticket)] == most

    @rule()
    def serve(self) -> None:
        waiters = queue_of(self.queues, SERVICE).queued
        if not waiters:
            return
        served = waiters[0]
        self.queues = serve_waiter(self.queues, served)
        organisation = self.held.pop(served.ticket)
        waiting = list(self.held.items())
        for ticket, other in waiting:
            passed = self.served_while_waiting[ticket]
            passed[organisation] += 1
            same_ahead = sum(one == other and t < ticket for t, one in waiting)
            allowed = 2 + passed[other] + same_ahead
            assert other == organisation or passed[organisation] <= allowed

    @rule(index=st.integers(0, BOUND))
    def give_up(self, index: int) -> None:
        if index < len(self.held):
            ticket = sorted(self.held)[index]
            self.queues = leave_queue(self.queues, ticket)
            del self.held[ticket]

    @invariant()
    def holds_the_same_waiters_within_the_bound(self) -> None:
        tickets = {one.ticket for one in queue_of(self.queues, SERVICE).queued}
        assert tickets == set(self.held)
        assert count_waiters(self.queues) <= BOUND


TestQueue = QueueMachine.TestCase
