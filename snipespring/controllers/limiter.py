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
from .share_book import ShareBook

__all__ = ["Limiter"]

MAX_WAIT_S = 0.2
MIN_WAIT_S = 0.001
NO_RULE_RETRY_S = 1.0


@define(kw_only=True, eq=False)
class Limiter:
    """Pay for requests on the callers' threads, waiting briefly for credit."""

    board: Board
    clock: Clock
    book: ShareBook
    accountant: MetricsRecorder

    def admit(
        self, organisation: OrganisationName, *, deadline_at_s: float
    ) -> Admission:
        """Pay for one request or say why it is refused."""
        rule = self.board.read(CONFIGURATION).organisations.get(organisation)
        if rule is None:
            reason = "the organisation has no rate"
            return OverLimit(reason=reason, retry_after_s=NO_RULE_RETRY_S)
        end_s = min(deadline_at_s, self.clock.monotonic_s() + MAX_WAIT_S)
        seen = self.book.arrivals()
        match self.book.pay(rule):
            case Paid() as paid:
                return self._admitted(organisation, paid)
            case InsufficientCredit(may_wait=False):
                return self._refused(rule)
            case InsufficientCredit() as short:
                try:
                    return self._wait(rule, short, seen, end_s)
                finally:
                    self.book.end_wait(organisation)

    def _wait(
        self, rule: OrganisationRule, short: InsufficientCredit, seen: int, end_s: float
    ) -> Admission:
        self.book.request_credit(rule.name)
        while True:
            left_s = end_s - self.clock.monotonic_s()
            if left_s <= 0:
                return self._refused(rule)
            ready_in_s = max(short.ready_in_s, MIN_WAIT_S)
            self.book.wait_for_credit(seen, min(left_s, ready_in_s))
            seen = self.book.arrivals()
            match self.book.pay(rule, is_waiting=True):
                case Paid() as paid:
                    return self._admitted(rule.name, paid)
                case InsufficientCredit(may_wait=False):
                    return self._refused(rule)
                case InsufficientCredit() as short:
                    continue

    def _admitted(self, organisation: OrganisationName, paid: Paid) -> Admitted:
        if paid.is_low:
            self.book.request_credit(organisation)
        self.accountant.count("admissions", "admitted")
        return Admitted()

    def _refused(self, rule: OrganisationRule) -> OverLimit:
        self.accountant.count("admissions", "refused")
        reason = f"over the rate of {rule.rate_per_s:g} requests a second"
        return OverLimit(reason=reason, retry_after_s=retry_after_s(rule))
