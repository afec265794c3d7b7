from collections import Counter

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from immutables import Map

from snipespring.decisions.queueing import (
    Enqueued,
    EnqueueRefused,
    count_queued,
    dequeue,
    enqueue,
    get_queue,
    list_hopeless,
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
ANSWER_TIMES_S = Map({"light": 0.16, "heavy": 0.83})
ORGANISATIONS = [OrganisationName(name) for name in ("large", "small", "other")]


def add(
    queues: RequestQueues,
    organisation: OrganisationName,
    deadline_at_s: float = 100.0,
    service_s: float = 0.02,
    priority: int = 0,
    now_s: float = 0.0,
    route: str = "",
    has_free_slots: bool = False,
) -> Enqueued | EnqueueRefused:
    slot_request = SlotRequest(
        service=SERVICE,
        organisation=organisation,
        placement=Placement(domain=DomainName("near")),
        deadline_at_s=deadline_at_s,
        priority=priority,
        route=route,
    )
    return enqueue(
        queues,
        slot_request,
        max_queued=MAX_QUEUED,
        in_flight=2,
        service_s=service_s,
        now_s=now_s,
        service_s_by_route=ANSWER_TIMES_S,
        has_free_slots=has_free_slots,
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


SLOTS = 2
SERVICE_S = 0.1
CAPACITY_PER_S = SLOTS / SERVICE_S
DEADLINE_S = 0.6
PLAYED_S = 30.0


def play_overload(load: float, priorities: dict[OrganisationName, int]) -> Counter[str]:
    """Play a steady load, in parts of the capacity; count who is served in time.

    Each organisation sends the same share of the requests.
    """
    queues, served = RequestQueues(), Counter[str]()
    ends_s = [0.0] * SLOTS
    for number in range(int(PLAYED_S * load * CAPACITY_PER_S)):
        now_s = number / (load * CAPACITY_PER_S)
        queues = serve_until(queues, ends_s, now_s, served)
        name = list(priorities)[number % len(priorities)]
        added = add(
            queues,
            name,
            deadline_at_s=now_s + DEADLINE_S,
            service_s=SERVICE_S,
            priority=priorities[name],
            now_s=now_s,
        )
        match added:
            case Enqueued(queues=queues, evicted=evicted):
                assert evicted is None
            case EnqueueRefused(retry_after_s=retry_after_s):
                assert retry_after_s > 0.0
    return served


def serve_until(
    queues: RequestQueues, ends_s: list[float], now_s: float, served: Counter[str]
) -> RequestQueues:
    """Serve queued requests on the slots that become free until `now_s`."""
    while (free_s := min(ends_s)) <= now_s:
        queue = get_queue(queues, SERVICE)
        hopeless = list_hopeless(
            queue, in_flight=SLOTS, service_s=SERVICE_S, now_s=free_s
        )
        for request, _ in hopeless:
            queues = remove_request(queues, request.ticket)
        queued = get_queue(queues, SERVICE).queued
        if not queued:
            ends_s[ends_s.index(free_s)] = now_s + 1e-6
            continue
        queues = dequeue(queues, queued[0])
        ends_s[ends_s.index(free_s)] = free_s + SERVICE_S
        if free_s + SERVICE_S <= queued[0].slot_request.deadline_at_s:
            served[str(queued[0].slot_request.organisation)] += 1
    return queues


@pytest.mark.parametrize("load", [1.3, 1.7, 3.0])
def test_urgent_requests_are_served_first_and_no_others_are_starved(
    load: float,
) -> None:
    large, small, _ = ORGANISATIONS
    served = play_overload(load, {large: 2, small: 0})
    sent = PLAYED_S * load * CAPACITY_PER_S / 2
    capacity = PLAYED_S * CAPACITY_PER_S
    assert served["small"] >= 0.9 * min(sent, capacity * 0.75)
    assert served["large"] >= 0.1 * capacity
    assert served.total() >= 0.9 * capacity


def test_slower_servers_make_queued_requests_hopeless_before_their_deadline() -> None:
    queues = RequestQueues()
    for _ in range(6):
        added = add(queues, ORGANISATIONS[0], deadline_at_s=1.0)
        assert isinstance(added, Enqueued)
        queues = added.queues
    queue = get_queue(queues, SERVICE)
    state = {"in_flight": 2, "now_s": 0.1}
    assert list_hopeless(queue, service_s=0.02, **state) == ()  # type: ignore[arg-type]
    hopeless = list_hopeless(queue, service_s=0.4, **state)  # type: ignore[arg-type]
    assert 0 < len(hopeless) < 6
    assert all(request in queue.queued[-len(hopeless) :] for request, _ in hopeless)
    assert all(wait_s > 0.0 for _, wait_s in hopeless)


def test_wait_follows_from_the_routes_of_the_requests_ahead() -> None:
    """Guard against refusals of light requests by the mean of light and heavy ones."""
    large = ORGANISATIONS[0]
    queues = RequestQueues()
    for _ in range(4):
        added = add(queues, large, route="light", service_s=0.5)
        assert isinstance(added, Enqueued)
        queues = added.queues
    state = {"service_s": 0.5, "deadline_at_s": 1.0}
    assert isinstance(add(queues, large, route="light", **state), Enqueued)  # type: ignore[arg-type]
    refused = add(queues, large, route="heavy", **state)  # type: ignore[arg-type]
    assert isinstance(refused, EnqueueRefused)
    assert refused.retry_after_s == pytest.approx((0.5 + 4 * 0.16) / 2)


def test_no_request_is_refused_for_its_wait_while_servers_have_free_slots() -> None:
    """Guard against refusals below the room, by a host with few attempts in flight."""
    queues = RequestQueues()
    for _ in range(10):
        added = add(queues, ORGANISATIONS[0], service_s=0.5, has_free_slots=True)
        assert isinstance(added, Enqueued)
        queues = added.queues
    added = add(queues, ORGANISATIONS[0], 1.0, 0.5, route="heavy", has_free_slots=True)
    assert isinstance(added, Enqueued)
    hopeless = list_hopeless(
        get_queue(added.queues, SERVICE),
        in_flight=1,
        service_s=0.5,
        now_s=0.4,
        service_s_by_route=ANSWER_TIMES_S,
        has_free_slots=True,
    )
    assert [request.ticket for request, _ in hopeless] == [added.request.ticket]
