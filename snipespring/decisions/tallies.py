"""Count the outcomes of real requests by server."""

from collections.abc import Callable, Iterator

from attrs import frozen
from immutables import Map

from ..records import Evidence, Histogram, ServerEvidence, ServerId
from .health import bucket_of, count_at_least

__all__ = ["OutcomeTally", "count_outcomes", "list_new_outcomes"]


@frozen(kw_only=True)
class OutcomeTally:
    """Count good answers, failures and attempts that reached no server.

    `late` contains the waiting times of attempts that got no answer in time, and
    `idle_sheds` counts sheds by a server with free slots.
    """

    good: int
    bad: int
    connect_failures: int
    late: Histogram = Histogram()
    idle_sheds: int = 0


def count_outcomes(evidence: Evidence) -> Map[ServerId, OutcomeTally]:
    """Return the outcomes on each server since the process started."""
    return Map(
        {
            server: _sum_counts(server_evidence)
            for server, server_evidence in evidence.by_server.items()
        }
    )


def list_new_outcomes(
    before: Map[ServerId, OutcomeTally],
    now: Map[ServerId, OutcomeTally],
    failure_timeout_s: Callable[[ServerId], float],
) -> Iterator[tuple[ServerId, OutcomeTally]]:
    """Yield each server that has new outcomes, with these outcomes.

    A missing answer counts as a failure only after a wait of `failure_timeout_s`; a
    shorter wait says nothing about the server.
    """
    for server, tally in now.items():
        old = before.get(server, NO_OUTCOMES)
        if tally != old:
            bucket = bucket_of(failure_timeout_s(server))
            late = count_at_least(tally.late, bucket) - count_at_least(old.late, bucket)
            yield (
                server,
                OutcomeTally(
                    good=tally.good - old.good,
                    bad=tally.bad - old.bad + late,
                    connect_failures=tally.connect_failures - old.connect_failures,
                    idle_sheds=tally.idle_sheds - old.idle_sheds,
                ),
            )


def _sum_counts(evidence: ServerEvidence) -> OutcomeTally:
    counts = evidence.counts
    return OutcomeTally(
        good=sum(counts.answered.counts),
        bad=counts.errors + counts.broken,
        connect_failures=counts.unreachable,
        late=counts.late,
        idle_sheds=evidence.idle_sheds,
    )


NO_OUTCOMES = OutcomeTally(good=0, bad=0, connect_failures=0)
