from collections import Counter

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from snipespring.decisions.queueing import (
    Enqueued,
    EnqueueRefused,
    count_queued,
    dequeue,
    enqueue,
    get_queue,
    remove_request,
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
MAX_QUEUED = 12
ORGANISATIONS = [OrganisationName(name) for name in ("large", "small", "other")]


def add(
    queues: RequestQueues,
    organisation: OrganisationName,
    deadline_at_s: float = 100.0,
    service_s: float = 0.02,
) -> Enqueued | EnqueueRefused:
    slot_request = SlotRequest(
        service=SERVICE,
        organisation=organisation,
        placement=Placement(domain=DomainName("near")),
        deadline_at_s=deadline_at_s,
    )
    return enqueue(
        queues,
        slot_request,
        max_queued=MAX_QUEUED,
        in_flight=2,
        service_s=service_s,
        now_s=0.0,
    )


def list_organisations(queues: RequestQueues) -> list[OrganisationName | None]:
    return [
        request.slot_request.organisation
        for request in get_queue(queues, SERVICE).queued
    ]


def test_small_organisation_waits_for_at_most_one_request_of_a_large_one() -> None:
    queues = RequestQueues()
    for name in ["large"] * 6 + ["small"]:
        added = add(queues, OrganisationName(name))
        assert isinstance(added, Enqueued)
        queues = added.queues
    assert list_organisations(queues).index(OrganisationName("small")) <= 1


def test_request_that_would_miss_its_deadline_is_refused_at_once() -> None:
    queues = RequestQueues()
    for _ in range(4):
        added = add(queues, ORGANISATIONS[0])
        assert isinstance(added, Enqueued)
        queues = added.queues
    refused = add(queues, ORGANISATIONS[0], deadline_at_s=0.069)
    assert isinstance(refused, EnqueueRefused)
    assert refused.retry_after_s == pytest.approx(0.05)
    assert isinstance(add(queues, ORGANISATIONS[0], deadline_at_s=0.071), Enqueued)
    assert isinstance(add(queues, ORGANISATIONS[1], deadline_at_s=0.051), Enqueued)


class QueueMachine(RuleBasedStateMachine):
    """Compare the queue with a dict; bound how far an organisation gets ahead."""

    def __init__(self) -> None:
        super().__init__()
        self.queues = RequestQueues()
        self.waiting: dict[int, OrganisationName] = {}
        self.served_while_waiting: dict[int, Counter[OrganisationName]] = {}

    @rule(organisation=st.sampled_from(ORGANISATIONS))
    def enqueue_request(self, organisation: OrganisationName) -> None:
        counts = Counter(self.waiting.values())
        match add(self.queues, organisation):
            case EnqueueRefused():
                assert len(self.waiting) == MAX_QUEUED
                assert counts[organisation] + 1 >= max(counts.values())
            case Enqueued(queues=queues, request=request, evicted=evicted):
                self.queues = queues
                self.waiting[request.ticket] = organisation
                self.served_while_waiting[request.ticket] = Counter()
                if evicted is not None:
                    most = max(counts.values())
                    assert counts[self.waiting.pop(evicted.ticket)] == most

    @rule()
    def serve(self) -> None:
        queued = get_queue(self.queues, SERVICE).queued
        if not queued:
            return
        first = queued[0]
        self.queues = dequeue(self.queues, first)
        organisation = self.waiting.pop(first.ticket)
        waiting = list(self.waiting.items())
        for ticket, other in waiting:
            served = self.served_while_waiting[ticket]
            served[organisation] += 1
            same_ahead = sum(name == other and t < ticket for t, name in waiting)
            allowed = 2 + served[other] + same_ahead
            assert other == organisation or served[organisation] <= allowed

    @rule(index=st.integers(0, MAX_QUEUED))
    def cancel(self, index: int) -> None:
        if index < len(self.waiting):
            ticket = sorted(self.waiting)[index]
            self.queues = remove_request(self.queues, ticket)
            del self.waiting[ticket]

    @invariant()
    def same_requests_are_queued_within_the_bound(self) -> None:
        tickets = {request.ticket for request in get_queue(self.queues, SERVICE).queued}
        assert tickets == set(self.waiting)
        assert count_queued(self.queues) <= MAX_QUEUED


TestQueue = QueueMachine.TestCase


def test_cancelled_requests_do_not_count_against_their_organisation() -> None:
    """Replay a sequence in which `large` was served thrice while `other` waited."""
    machine = QueueMachine()
    large, other = ORGANISATIONS[0], ORGANISATIONS[2]
    for organisation in (large, large, large, large, other, other):
        machine.enqueue_request(organisation)
    machine.cancel(0)
    machine.cancel(0)
    machine.serve()
    machine.serve()
    machine.enqueue_request(other)
    machine.cancel(0)
    machine.serve()
