"""Count the outcomes of real work by server."""

from collections.abc import Callable, Iterator

from attrs import frozen
from immutables import Map

from ..records import Evidence, Histogram, OutcomeCounts, ServerId
from .health import bucket_of, count_from

__all__ = ["OutcomeTally", "count_outcomes", "list_news"]


@frozen(kw_only=True)
class OutcomeTally:
    """Count good answers, failures, and attempts that reached no server.

    `late` holds the waits for answers that did not come.
    """

    good: int
    bad: int
    unreached: int
    late: Histogram = Histogram()


def count_outcomes(evidence: Evidence) -> Map[ServerId, OutcomeTally]:
    """Return the outcomes on each server since the process started."""
    return Map(
        {server: _tally(held.counts) for server, held in evidence.by_server.items()}
    )


def list_news(
    before: Map[ServerId, OutcomeTally],
    now: Map[ServerId, OutcomeTally],
    patience_s: Callable[[ServerId], float],
) -> Iterator[tuple[ServerId, OutcomeTally]]:
    """Yield the servers with new outcomes, and these outcomes.

    An answer that did not come within `patience_s` is a failure; one that a request
    did not wait for so long says nothing of the server.
    """
    for server, tally in now.items():
        old = before.get(server, NOTHING)
        if tally != old:
            bucket = bucket_of(patience_s(server))
            late = count_from(tally.late, bucket) - count_from(old.late, bucket)
            yield (
                server,
                OutcomeTally(
                    good=tally.good - old.good,
                    bad=tally.bad - old.bad + late,
                    unreached=tally.unreached - old.unreached,
                ),
            )


def _tally(counts: OutcomeCounts) -> OutcomeTally:
    return OutcomeTally(
        good=sum(counts.answered.counts),
        bad=counts.errors + counts.broken,
        unreached=counts.unreachable,
        late=counts.late,
    )


NOTHING = OutcomeTally(good=0, bad=0, unreached=0)
