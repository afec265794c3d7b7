"""Distinguish server faults from faults of the network path of some hosts."""

from collections import defaultdict
from collections.abc import Mapping

from ...records import (
    DomainName,
    EvidencePool,
    HealthPolicy,
    HostId,
    PooledServer,
    Tally,
)
from .scoring import log_likelihood_ratio, sum_tallies, unhealthy_failure_ratio

__all__ = ["is_server_fault"]

# A log-likelihood ratio (unhealthy to healthy) of at most -3.0 shows a healthy server.
CONTRARY_LOG_RATIO = 3.0
UNKNOWN_DOMAIN = DomainName("")


def is_server_fault(
    pool: EvidencePool, server: PooledServer, policy: HealthPolicy
) -> bool:
    """Return whether the evidence holds without its worst host or failure domain.

    Bad attempts must remain without the host that reported most of them, and neither
    the remaining hosts nor the remaining domains may show a healthy server.
    """
    baseline = server.baseline_failure_ratio
    unhealthy = unhealthy_failure_ratio(baseline, policy)
    by_host = dict(server.suspicion.items())
    without_host = _without_worst(by_host)
    if len(pool.reporters) > 1 and without_host.bad < 1:
        return False
    without_domain = _without_worst(_by_domain(pool, by_host))
    ratios = (
        log_likelihood_ratio(rest, baseline, unhealthy)
        for rest in (without_host, without_domain)
    )
    return all(ratio > -CONTRARY_LOG_RATIO for ratio in ratios)


def _without_worst(
    tallies: Mapping[HostId, Tally] | Mapping[DomainName, Tally],
) -> Tally:
    ordered = sorted(tallies.values(), key=lambda tally: tally.bad)
    return sum_tallies(ordered[:-1])


def _by_domain(
    pool: EvidencePool, tallies: dict[HostId, Tally]
) -> dict[DomainName, Tally]:
    domains: dict[DomainName, Tally] = defaultdict(Tally)
    for host_id, tally in tallies.items():
        reporter = pool.reporters.get(host_id)
        domain = reporter.domain if reporter is not None else UNKNOWN_DOMAIN
        domains[domain] = sum_tallies((domains[domain], tally))
    return domains
