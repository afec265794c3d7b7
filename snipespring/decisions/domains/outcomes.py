"""Decide how the outcomes of requests reach the other hosts.

In a small domain each host tells all others at once. In a large one that would cost
each host as many datagrams as all hosts have failures; there the first hub collects
outcomes for a short time and sends them on together.
"""

from attrs import frozen

from ...records import (
    DomainHubs,
    FleetView,
    OutcomeNotification,
    PendingOutcomes,
    PublishedHost,
)
from .hubs import SMALL_DOMAIN_HOSTS, choose_hubs
from .known_hosts import list_outcome_recipients

__all__ = [
    "CollectOutcomes",
    "SendDirectly",
    "SendToHub",
    "add_outcomes",
    "choose_outcome_route",
    "list_other_hubs",
]

# The oldest outcomes are dropped beyond this number, which fits into one datagram.
MAX_PENDING_OUTCOMES = 512


@frozen(kw_only=True)
class SendDirectly:
    """Send each outcome to all hosts of the domain at once."""

    recipients: tuple[PublishedHost, ...]


@frozen(kw_only=True)
class SendToHub:
    """Send each outcome to the hub that collects them."""

    hub: PublishedHost


@frozen(kw_only=True)
class CollectOutcomes:
    """Collect the outcomes, as the hub of a large domain."""


def choose_outcome_route(
    hosts: tuple[PublishedHost, ...],
    view: FleetView,
    hubs: DomainHubs,
    own_host: PublishedHost,
) -> SendDirectly | SendToHub | CollectOutcomes:
    """Return how this host passes outcomes on within its domain."""
    recipients = list_outcome_recipients(hosts, view, own_host)
    if len(recipients) < SMALL_DOMAIN_HOSTS or not hubs.hubs:
        return SendDirectly(recipients=recipients)
    if hubs.hubs[0].host_id == own_host.host_id:
        return CollectOutcomes()
    return SendToHub(hub=hubs.hubs[0])


def add_outcomes(
    pending: PendingOutcomes, outcomes: tuple[OutcomeNotification, ...]
) -> PendingOutcomes:
    """Return the outcomes to send on, without the oldest ones if they are too many."""
    kept = (*pending.outcomes, *outcomes)[-MAX_PENDING_OUTCOMES:]
    return PendingOutcomes(outcomes=kept)


def list_other_hubs(
    hosts: tuple[PublishedHost, ...], view: FleetView, own_host: PublishedHost
) -> tuple[PublishedHost, ...]:
    """Return the first hub of each other domain."""
    not_serving = frozenset(host.host_id for host in hosts) - view.serving
    domains = sorted({host.domain for host in hosts} - {own_host.domain})
    return tuple(
        hub
        for domain in domains
        for hub in choose_hubs(hosts, domain, silent=not_serving)[:1]
    )
