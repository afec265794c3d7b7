"""Admit requests within their organisation's rate, paid from its shares."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import CONFIGURATION
from ..decisions.limits import InsufficientCredit, Paid, retry_after_s
from ..records import (
    Admission,
    Admitted,
    OrganisationName,
    OrganisationRule,
    OverLimit,
)
from ..utils import Clock
from .metrics_recorder import MetricsRecorder
from .share_manager import ShareManager

__all__ = ["Limiter"]

MAX_CREDIT_WAIT_S = 0.2
MIN_CREDIT_WAIT_S = 0.001
NO_RULE_RETRY_AFTER_S = 1.0


@define(kw_only=True, eq=False)
class Limiter:
    """Pay for requests on the callers' threads, waiting briefly for credit.

    The credit is this host's part of the organisation's rate. More of it is borrowed
    from other hosts when it runs low.
    """

    board: Board
    clock: Clock
    share_manager: ShareManager
    metrics: MetricsRecorder

    def admit(
        self,
        organisation: OrganisationName,
        *,
        deadline_at_s: float,
        priority: int = 0,
    ) -> Admission:
        """Pay for one request or state why it is refused."""
        rule = self.board.read(CONFIGURATION).organisations.get(organisation)
        if rule is None:
            reason = "no rate is configured for the organisation"
            return OverLimit(reason=reason, retry_after_s=NO_RULE_RETRY_AFTER_S)
        end_s = min(deadline_at_s, self.clock.monotonic_s() + MAX_CREDIT_WAIT_S)
        known_arrivals = self.share_manager.count_arrivals()
        match self.share_manager.pay(rule):
            case Paid() as paid:
                return self._admit(organisation, paid)
            case InsufficientCredit(may_wait=False):
                return self._refuse(rule)
            case InsufficientCredit() as insufficient:
                try:
                    return self._wait_for_credit(
                        rule, insufficient, known_arrivals, end_s
                    )
                finally:
                    self.share_manager.end_wait(organisation)

    def _wait_for_credit(
        self,
        rule: OrganisationRule,
        insufficient: InsufficientCredit,
        known_arrivals: int,
        end_s: float,
    ) -> Admission:
        self.share_manager.request_credit(rule.name)
        while True:
            remaining_s = end_s - self.clock.monotonic_s()
            if remaining_s <= 0:
                return self._refuse(rule)
            ready_in_s = max(insufficient.ready_in_s, MIN_CREDIT_WAIT_S)
            self.share_manager.wait_for_credit(
                known_arrivals, min(remaining_s, ready_in_s)
            )
            known_arrivals = self.share_manager.count_arrivals()
            match self.share_manager.pay(rule, is_waiting=True):
                case Paid() as paid:
                    return self._admit(rule.name, paid)
                case InsufficientCredit(may_wait=False):
                    return self._refuse(rule)
                case InsufficientCredit() as insufficient:
                    continue

    def _admit(self, organisation: OrganisationName, paid: Paid) -> Admitted:
        if paid.is_low:
            self.share_manager.request_credit(organisation)
        self.metrics.count("admissions", "admitted")
        return Admitted()

    def _refuse(self, rule: OrganisationRule) -> OverLimit:
        self.metrics.count("admissions", "refused")
        reason = f"over the rate of {rule.rate_per_s:g} requests per second"
        return OverLimit(reason=reason, retry_after_s=retry_after_s(rule))
