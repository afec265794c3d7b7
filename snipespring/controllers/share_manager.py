"""Apply payments, loans and handovers to the ledger of shares."""

import threading
from collections.abc import Callable
from typing import TypeVar

from attrs import define, evolve, field
from immutables import Map

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    CREDIT_NEEDS,
    FENCE,
    LEASE,
    ROSTER,
    SHARE_LEDGER,
)
from ..decisions.limits import (
    BorrowingPlan,
    InsufficientCredit,
    OutgoingAsks,
    Paid,
    adopt_roster,
    end_wait,
    handover_message,
    leave_roster,
    lend_credit,
    pay_for_request,
    plan_borrowing,
    receive_grants,
    receive_handovers,
    refers_to_newer_roster,
)
from ..records import (
    CreditAsks,
    CreditGrants,
    CreditNeeds,
    LeaseHeld,
    OrganisationName,
    OrganisationRule,
    Peer,
    Refused,
    ShareHandovers,
    ShareLedger,
    ShareRelease,
    SharesTaken,
)
from ..utils import Clock

__all__ = ["ShareManager"]

T = TypeVar("T")


@define(kw_only=True, eq=False)
class ShareManager:
    """Write the share ledger and credit needs regions."""

    board: Board
    clock: Clock
    own_peer: Peer
    name: str = "share_book"
    _credit_arrived: threading.Condition = field(
        factory=threading.Condition, init=False
    )
    _arrival_count: int = field(default=0, init=False)

    def pay(
        self, rule: OrganisationRule, *, is_waiting: bool = False
    ) -> Paid | InsufficientCredit:
        """Pay for one request.

        If the lease has ended or the payment has expired by the time the ledger is
        written, as after a pause of the process, the payment does not count and another
        one is tried.
        """
        while True:
            lease_until_s = self._lease_until_s()
            result = self._pay_once(rule, is_waiting, lease_until_s)
            match result:
                case Paid(until_s=until_s):
                    if self.clock.monotonic_s() < min(lease_until_s, until_s):
                        return result
                case InsufficientCredit():
                    return result

    def _pay_once(
        self, rule: OrganisationRule, is_waiting: bool, lease_until_s: float
    ) -> Paid | InsufficientCredit:
        def step(
            ledger: ShareLedger, now_s: float
        ) -> tuple[ShareLedger, Paid | InsufficientCredit]:
            if now_s >= lease_until_s:
                return ledger, InsufficientCredit(
                    may_wait=False, ready_in_s=float("inf")
                )
            return pay_for_request(
                ledger, rule, self.own_peer, is_waiting=is_waiting, now_s=now_s
            )

        return self._transact(step)

    def end_wait(self, organisation: OrganisationName) -> None:
        """Record that a request no longer waits for credit."""
        self.board.update(
            SHARE_LEDGER,
            lambda ledger: end_wait(ledger, organisation),
            writer=self.name,
        )

    def count_arrivals(self) -> int:
        """Return how many requests for credit have ended.

        A request to another host ends with an answer or a failure.
        """
        return self._arrival_count

    def wait_for_credit(self, known_arrivals: int, timeout_s: float) -> None:
        """Wait until `count_arrivals` differs from a known value, up to `timeout_s`."""
        with self._credit_arrived:
            self._credit_arrived.wait_for(
                lambda: self._arrival_count != known_arrivals, timeout_s
            )

    def request_credit(self, organisation: OrganisationName) -> None:
        """Record that an organisation's credit runs low."""

        def add(needs: CreditNeeds) -> CreditNeeds:
            names = needs.organisations | {organisation}
            return CreditNeeds(organisations=names, revision=needs.revision + 1)

        self.board.update(CREDIT_NEEDS, add, writer=self.name)

    def plan_borrowing(self, unanswered_peers: frozenset[Peer]) -> BorrowingPlan:
        """Plan which holders to ask for credit, for the organisations in need."""
        needs = self.board.read(CREDIT_NEEDS)
        rules = self._rules()
        rules_in_need = {
            name: rules[name] for name in needs.organisations if name in rules
        }
        if self.clock.monotonic_s() >= self._lease_until_s():
            return BorrowingPlan(organisations_in_need=needs.organisations)
        plan = self._transact(
            lambda ledger, now_s: plan_borrowing(
                ledger,
                rules_in_need,
                self.own_peer,
                unanswered_peers=unanswered_peers,
                now_s=now_s,
            )
        )
        self._remove_met_needs(needs, plan.organisations_in_need)
        return plan

    def receive_grants(self, sent: OutgoingAsks, reply: CreditGrants | None) -> None:
        """Add the credit of a holder's reply, None if it failed, and plan again."""
        self._transact(
            lambda ledger, now_s: (
                receive_grants(ledger, sent, reply, now_s=now_s),
                None,
            )
        )
        with self._credit_arrived:
            self._arrival_count += 1
            self._credit_arrived.notify_all()
        for ask in sent.message.asks:
            self.request_credit(ask.organisation)

    def lend(self, asks: CreditAsks) -> CreditGrants | Refused:
        """Lend from the shares of this host while it has its lease."""
        lease_until_s = self._lease_until_s()
        rules = self._rules()

        def step(
            ledger: ShareLedger, now_s: float
        ) -> tuple[ShareLedger, CreditGrants | Refused]:
            if now_s >= lease_until_s:
                return ledger, Refused(reason="the lease is not held")
            return lend_credit(ledger, asks, rules, self.own_peer, now_s=now_s)

        return self._transact(step)

    def receive_handovers(self, handovers: ShareHandovers) -> SharesTaken | Refused:
        """Take over shares that another host gave up."""
        rules = self._rules()

        def step(
            ledger: ShareLedger, now_s: float
        ) -> tuple[ShareLedger, SharesTaken | Refused]:
            if refers_to_newer_roster(ledger, handovers):
                return ledger, Refused(reason="the roster version is not known yet")
            updated = receive_handovers(
                ledger, handovers, rules, self.own_peer, now_s=now_s
            )
            return updated, SharesTaken()

        return self._transact(step)

    def collect_releases(self) -> tuple[ShareRelease, ...]:
        """Adopt the newest roster; return the releases to report to other hosts."""
        return self._transact(
            lambda ledger, _: (evolve(ledger, releases=()), ledger.releases)
        )

    def make_handovers(self, release: ShareRelease) -> ShareHandovers:
        """Return the message about the shares that passed to another host."""
        return handover_message(
            release,
            self.own_peer,
            loans_until_s=self.board.read(SHARE_LEDGER).loans_until_s,
            now_s=self.clock.monotonic_s(),
        )

    def release_all(self) -> tuple[ShareRelease, ...]:
        """Give up every share; return the releases to report to other hosts."""
        rules = self._rules()

        def step(
            ledger: ShareLedger, now_s: float
        ) -> tuple[ShareLedger, tuple[ShareRelease, ...]]:
            updated = leave_roster(ledger, rules, self.own_peer, now_s=now_s)
            return evolve(updated, releases=()), updated.releases

        return self._transact(step)

    def _transact(
        self, step: Callable[[ShareLedger, float], tuple[ShareLedger, T]]
    ) -> T:
        """Bring the ledger to the newest roster and apply `step` to it."""

        def adopt(ledger: ShareLedger) -> tuple[ShareLedger, T]:
            now_s = self.clock.monotonic_s()
            ledger = adopt_roster(
                ledger,
                self.board.read(ROSTER),
                self.board.read(FENCE),
                self._rules(),
                self.own_peer,
                now_s=now_s,
            )
            return step(ledger, now_s)

        return self.board.transact(SHARE_LEDGER, adopt, writer=self.name)

    def _remove_met_needs(
        self, planned_needs: CreditNeeds, organisations_in_need: frozenset[str]
    ) -> None:
        met = planned_needs.organisations - organisations_in_need

        def remove(needs: CreditNeeds) -> CreditNeeds:
            if needs.revision != planned_needs.revision or not met:
                return needs
            return evolve(needs, organisations=needs.organisations - met)

        self.board.update(CREDIT_NEEDS, remove, writer=self.name)

    def _lease_until_s(self) -> float:
        match self.board.read(LEASE):
            case LeaseHeld(until_s=until_s):
                return until_s
            case _:
                return float("-inf")

    def _rules(self) -> Map[OrganisationName, OrganisationRule]:
        return self.board.read(CONFIGURATION).organisations
