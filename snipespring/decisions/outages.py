"""Tell an outage of the store from single calls that fail.

A registered server writes its entry at each heartbeat, and the entry lapses after three
intervals of silence. Only a longer time without any answer of the store can have made
entries of running servers lapse.
"""

from collections.abc import Iterable

from attrs import evolve

from ..records import AvailableSpan, Confirmation, StoreRelay

__all__ = [
    "extend_span",
    "find_recovery_s",
    "record_relayed_reach",
    "shortest_outage_s",
]

# An entry lapses after three intervals without a write, and the last write before an
# outage is up to one interval old.
OUTAGE_INTERVALS = 2
# A span that another host relays is extended by at least this many seconds.
MIN_ADVANCE_S = 0.1


def shortest_outage_s(heartbeat_s: float) -> float:
    """Return the time in seconds without an answer in which an entry can lapse."""
    return OUTAGE_INTERVALS * heartbeat_s


def extend_span(
    span: AvailableSpan | None, answered_s: float, *, outage_s: float
) -> AvailableSpan:
    """Return the span after an answer of the store, a new one after an outage."""
    if span is None or answered_s - span.until_s >= outage_s:
        return AvailableSpan(since_s=answered_s, until_s=answered_s)
    return evolve(span, until_s=max(span.until_s, answered_s))


def find_recovery_s(
    spans: Iterable[AvailableSpan | None], *, outage_s: float
) -> float | None:
    """Return since when the store has been available, None before the first answer.

    The spans are those seen by different callers; one may bridge a gap of another.
    """
    known = [span for span in spans if span is not None]
    if not known:
        return None
    known.sort(key=lambda span: span.until_s, reverse=True)
    since_s = known[0].since_s
    for span in known[1:]:
        if since_s - span.until_s < outage_s:
            since_s = min(since_s, span.since_s)
    return since_s


def record_relayed_reach(
    relay: StoreRelay,
    confirmation: Confirmation | None,
    *,
    sent_s: float,
    outage_s: float,
) -> StoreRelay:
    """Return the relay state after the answer to a report that was sent at `sent_s`.

    The same object is returned if nothing changes.
    """
    if confirmation is None:
        return relay
    known, reached_s = relay.available, sent_s - confirmation.reached_age_s
    if known is not None and reached_s < known.until_s + MIN_ADVANCE_S:
        return relay
    span = extend_span(known, reached_s, outage_s=outage_s)
    return evolve(relay, available=span)
