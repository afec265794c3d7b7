"""Admit requests inside their organisation's rate."""

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
    """Pay for requests on the callers' threads, waiting briefly for credit."""

    board: Board
    clock: Clock
    share_manager: ShareManager
    accountant: MetricsRecorder

    def admit(
        self, organisation: OrganisationName, *, deadline_at_s: float
    ) -> Admission:
        """Pay for one request or say why it is refused."""
        rule = self.board.read(CONFIGURATION).organisations.get(organisation)
        if rule is None:
            reason = "the organisation has no rate"
            return OverLimit(reason=reason, retry_after_s=NO_RULE_RETRY_AFTER_S)
        end_s = min(deadline_at_s, self.clock.monotonic_s() + MAX_CREDIT_WAIT_S)
        seen = self.share_manager.count_arrivals()
        match self.share_manager.pay(rule):
            case Paid() as paid:
                return self._admit(organisation, paid)
            case InsufficientCredit(may_wait=False):
                return self._refuse(rule)
            case InsufficientCredit() as short:
                try:
                    return self._wait_for_credit(rule, short, seen, end_s)
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
            left_s = end_s - self.clock.monotonic_s()
            if left_s <= 0:
                return self._refuse(rule)
            ready_in_s = max(insufficient.ready_in_s, MIN_CREDIT_WAIT_S)
            self.share_manager.wait_for_credit(known_arrivals, min(left_s, ready_in_s))
            known_arrivals = self.share_manager.count_arrivals()
            match self.share_manager.pay(rule, is_waiting=True):
                case Paid() as paid:
                    return self._admit(rule.name, paid)
                case InsufficientCredit(may_wait=False):
                    return self._refuse(rule)
                case InsufficientCredit() as short:
                    continue

    def _admit(self, organisation: OrganisationName, paid: Paid) -> Admitted:
        if paid.is_low:
            self.share_manager.request_credit(organisation)
        self.accountant.count("admissions", "admitted")
        return Admitted()

    def _refuse(self, rule: OrganisationRule) -> OverLimit:
        self.accountant.count("admissions", "refused")
        reason = f"over the rate of {rule.rate_per_s:g} requests a second"
        return OverLimit(reason=reason, retry_after_s=retry_after_s(rule))
