"""Spend the retries that the fleet may send, the most urgent requests first.

The load is that of servers which refuse or fail many requests for some seconds, when
each host alone would refuse requests although other hosts leave their retries unused.
"""

from math import floor

from attrs import evolve, frozen

from ...records import URGENCIES, RetryBound, RetryBudget, ServiceDemand
from ..overload.demand import RECENT_S
from .budget import BudgetExhausted

__all__ = ["FleetBudget", "make_fleet_budget", "renew_phase", "spend_fleet_retry"]

# Part of the bound to use, by counts that are about 0.03 of it too cautious because of
# their slices of time. The rest covers retries that no view shows, such as those of a
# host whose reports were lost.
USED_SHARE = 0.97
# Below this part of the budget, retries that would probably end late are not sent.
SHORT_SHARE = 0.5
# Time in which others may spend retries that this host's view does not show. A report,
# a summary and a digest are each sent every 0.25 s, and a view is used for 0.6 s.
UNSEEN_S = 1.5


@frozen(kw_only=True)
class FleetBudget:
    """Count the retries that the fleet may send and has sent in the current window.

    `allowed` is the bound for the hosts that were heard, `sent` what they sent.
    `reserved` is expected to be needed for more urgent requests.
    """

    allowed: float
    sent: int
    reserved: float
    hosts: int

    def __str__(self) -> str:
        """Describe the budget with its figures."""
        return (
            f"retry budget of {self.hosts} hosts: {self.sent} sent of "
            f"{self.allowed:.0f}, {self.reserved:.0f} reserved for more urgent requests"
        )

    @property
    def free(self) -> float:
        """Return the retries that are left for requests of this urgency."""
        return max(0.0, self.allowed - self.sent - self.reserved)

    @property
    def is_short(self) -> bool:
        """Return whether most of the budget is spent or reserved."""
        return self.free < SHORT_SHARE * self.allowed


def make_fleet_budget(
    bound: RetryBound,
    demand: ServiceDemand,
    *,
    urgency: int,
    heard_hosts: int,
    known_hosts: int,
) -> FleetBudget:
    """Return the budget for requests of one urgency, by the demand on all heard hosts.

    Hosts that were not heard keep their part of the slack. More urgent requests are
    expected to need retries for a whole window as often as in the last seconds.
    """
    hosts = max(1, heard_hosts, known_hosts)
    firsts = max(sum(demand.counts.firsts), demand.earlier_firsts)
    slack = bound.slack * max(1, heard_hosts) / hosts
    reserved = 0.0
    for level in range(min(urgency, URGENCIES - 1)):
        expected = _at(demand.counts.wanted, level) * bound.window_s / RECENT_S
        reserved += max(0.0, expected - _at(demand.counts.retries, level))
    return FleetBudget(
        allowed=USED_SHARE * (bound.share * firsts + slack),
        sent=sum(demand.counts.retries),
        reserved=reserved,
        hosts=max(1, heard_hosts),
    )


def renew_phase(budget: RetryBudget, *, phase: float, now_s: float) -> RetryBudget:
    """Return the budget with this random phase if the one before is out of date.

    It must be kept after a refusal too: a host that drew again for each refused retry
    would get its share for each of them.
    """
    if now_s - budget.phase_at_s < UNSEEN_S:
        return budget
    return evolve(budget, phase=phase, phase_at_s=now_s)


def spend_fleet_retry(
    budget: RetryBudget, fleet: FleetBudget, *, now_s: float
) -> RetryBudget | BudgetExhausted:
    """Return the budget after one retry by this host, or BudgetExhausted.

    All hosts may spend at the same time, unseen by each other. Each therefore spends
    within `UNSEEN_S` no more than its even share of what was left before. A share
    below one retry is given to some of the hosts, by the phase that each has drawn for
    this time.
    """
    recent = tuple(at_s for at_s in budget.spent_s if now_s - at_s < UNSEEN_S)
    share = (fleet.free + len(recent)) / fleet.hosts
    if fleet.free < 1.0 or len(recent) + 1 > floor(share + budget.phase):
        return BudgetExhausted()
    return evolve(
        budget, allowed=max(0.0, budget.allowed - 1.0), spent_s=(*recent, now_s)
    )


def _at(counts: tuple[int, ...], index: int) -> int:
    return counts[index] if index < len(counts) else 0
