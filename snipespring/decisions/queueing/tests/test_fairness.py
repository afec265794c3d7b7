from collections import Counter

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from snipespring.decisions.queueing import (
    Enqueued,
    EnqueueRefused,
    count_waiters,
    enqueue,
    get_queue,
    remove_waiter,
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
) -> Enqueued | EnqueueRefused:
    wanted = SlotRequest(
        service=SERVICE,
        organisation=organisation,
        placement=Placement(domain=DomainName("near")),
        deadline_at_s=deadline_at_s,
    )
    return enqueue(
        queues, wanted, max_waiters=BOUND, in_flight=2, service_s=service_s, now_s=0.0
    )


def order(queues: RequestQueues) -> list[OrganisationName | None]:
    return [one.wanted.organisation for one in get_queue(queues, SERVICE).waiters]


def test_small_organisation_goes_after_at_most_one_of_the_large_one() -> None:
    queues = RequestQueues()
    for name in ["large"] * 6 + ["small"]:
        joined = join(queues, OrganisationName(name))
        assert isinstance(joined, Enqueued)
        queues = joined.queues
    assert order(queues).index(OrganisationName("small")) <= 1


def test_request_that_would_come_too_late_is_refused_at_once() -> None:
    queues = RequestQueues()
    for _ in range(4):
        joined = join(queues, ORGANISATIONS[0])
        assert isinstance(joined, Enqueued)
        queues = joined.queues
    refused = join(queues, ORGANISATIONS[0], deadline_at_s=0.069)
    assert isinstance(refused, EnqueueRefused)
    assert refused.retry_after_s == pytest.approx(0.05)
    assert isinstance(join(queues, ORGANISATIONS[0], deadline_at_s=0.071), Enqueued)
    assert isinstance(join(queues, ORGANISATIONS[1], deadline_at_s=0.051), Enqueued)


class QueueMachine(RuleBasedStateMachine):
    """Compare the queue with a plain list and bound each organisation's lead."""

    def __init__(self) -> None:
        super().__init__()
        self.queues = RequestQueues()
        self.waiting: dict[int, OrganisationName] = {}
        self.served_while_waiting: dict[int, Counter[OrganisationName]] = {}

    @rule(organisation=st.sampled_from(ORGANISATIONS))
    def join(self, organisation: OrganisationName) -> None:
        counts = Counter(self.waiting.values())
        match join(self.queues, organisation):
            case EnqueueRefused():
                assert len(self.waiting) == BOUND
                assert counts[organisation] + 1 >= max(counts.values())
            case Enqueued(queues=queues, waiter=waiter, evicted=evicted):
                self.queues = queues
                self.waiting[waiter.ticket] = organisation
                self.served_while_waiting[waiter.ticket] = Counter()
                if evicted is not None:
                    most = max(counts.values())
                    assert counts[self.waiting.pop(evicted.ticket)] == most

    @rule()
    def serve(self) -> None:
        waiters = get_queue(self.queues, SERVICE).waiters
        if not waiters:
            return
        served = waiters[0]
        self.queues = serve_waiter(self.queues, served)
        organisation = self.waiting.pop(served.ticket)
        waiting = list(self.waiting.items())
        for ticket, other in waiting:
            passed = self.served_while_waiting[ticket]
            passed[organisation] += 1
            same_ahead = sum(one == other and t < ticket for t, one in waiting)
            allowed = 2 + passed[other] + same_ahead
            assert other == organisation or passed[organisation] <= allowed

    @rule(index=st.integers(0, BOUND))
    def give_up(self, index: int) -> None:
        if index < len(self.waiting):
            ticket = sorted(self.waiting)[index]
            self.queues = remove_waiter(self.queues, ticket)
            del self.waiting[ticket]

    @invariant()
    def holds_the_same_waiters_within_the_bound(self) -> None:
        tickets = {one.ticket for one in get_queue(self.queues, SERVICE).waiters}
        assert tickets == set(self.waiting)
        assert count_waiters(self.queues) <= BOUND


TestQueue = QueueMachine.TestCase
