from collections import Counter
from math import inf

from immutables import Map

from snipespring.decisions.queueing import (
    Enqueued,
    EnqueueRefused,
    dequeue,
    enqueue,
    get_queue,
    refresh_order,
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
TIMES_S = Map({"light": 0.16, "heavy": 0.83})


def add(
    queues: RequestQueues,
    route: str,
    *,
    priority: int = 0,
    objective_at_s: float = inf,
    organisation: str = "small",
    max_queued: int = 64,
) -> Enqueued | EnqueueRefused:
    return enqueue(
        queues,
        SlotRequest(
            service=SERVICE,
            organisation=OrganisationName(organisation),
            placement=Placement(domain=DomainName("near")),
            deadline_at_s=1e3,
            priority=priority,
            route=route,
            objective_at_s=objective_at_s,
        ),
        max_queued=max_queued,
        in_flight=3,
        service_s=0.5,
        now_s=0.0,
        service_s_by_route=TIMES_S,
    )


def list_kinds(queues: RequestQueues) -> list[tuple[int, str]]:
    return [
        (request.slot_request.priority, request.slot_request.route)
        for request in get_queue(queues, SERVICE).queued
    ]


def test_requests_wait_in_the_order_of_what_their_loss_costs() -> None:
    """Guard against kinds of request that are served in the inverse order."""
    queues = RequestQueues()
    for number, (route, priority) in enumerate(
        [("heavy", 1), ("heavy", 0), ("light", 1), ("light", 0)]
    ):
        result = add(queues, route, priority=priority, organisation=f"o-{number}")
        assert isinstance(result, Enqueued)
        queues = result.queues
    order = [(0, "light"), (0, "heavy"), (1, "light"), (1, "heavy")]
    assert list_kinds(queues) == order


def test_a_request_that_missed_its_objective_lets_others_go_first() -> None:
    """Guard against a late answer that makes another one late too."""
    queues = RequestQueues()
    for organisation, objective_at_s in (("a", 1.0), ("b", 9.0)):
        result = add(
            queues, "light", objective_at_s=objective_at_s, organisation=organisation
        )
        assert isinstance(result, Enqueued)
        queues = result.queues

    def first(now_s: float) -> OrganisationName | None:
        ordered = refresh_order(queues, SERVICE, now_s=now_s)
        return get_queue(ordered, SERVICE).queued[0].slot_request.organisation

    assert (first(0.8), first(0.9), first(9.5)) == ("a", "b", "a")


def test_no_kind_of_request_is_starved_by_more_urgent_ones() -> None:
    """Guard against a kind that gets less than a quarter of the average share."""
    queues, served = RequestQueues(), Counter[tuple[int, str]]()
    for _ in range(400):
        for priority, route in ((0, "light"), (0, "light"), (2, "heavy"), (2, "light")):
            result = add(queues, route, priority=priority, max_queued=12)
            if isinstance(result, Enqueued):
                queues = result.queues
        first = get_queue(queues, SERVICE).queued[0]
        served[(first.slot_request.priority, first.slot_request.route)] += 1
        queues = dequeue(queues, first)
    assert min(served.values()) >= 0.25 * 400 / 3 - 1
    assert len(served) == 3
    assert served[(0, "light")] >= 0.6 * 400


def test_a_full_queue_loses_the_request_that_costs_least() -> None:
    """Guard against refusals of urgent requests while less urgent ones wait."""
    queues = RequestQueues()
    for priority, route in [(2, "light"), (2, "heavy")] * 2 + [(1, "light")]:
        result = add(queues, route, priority=priority, max_queued=5)
        assert isinstance(result, Enqueued)
        queues = result.queues
    urgent = add(queues, "light", max_queued=5)
    assert isinstance(urgent, Enqueued)
    assert urgent.evicted is not None
    assert urgent.evicted.slot_request.priority == 2
    assert urgent.evicted.slot_request.route == "heavy"
    assert isinstance(add(queues, "heavy", priority=2, max_queued=5), EnqueueRefused)


def test_an_organisation_displaces_no_other_by_urgent_requests() -> None:
    """Guard against one organisation that pushes the others out of the queue."""
    queues = RequestQueues()
    for organisation, priority in (("small", 2), ("large", 0), ("large", 0)):
        result = add(
            queues, "light", priority=priority, organisation=organisation, max_queued=3
        )
        assert isinstance(result, Enqueued)
        queues = result.queues
    refused = add(queues, "light", organisation="large", max_queued=3)
    assert isinstance(refused, EnqueueRefused)
