"""Log one line per request, with the decision that ended it."""

import logging
import threading
from random import Random

from attrs import define, evolve, field

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    EVACUATION_FEED,
    FLEET_VIEW,
    LEASE,
    SERVER_LOADS,
    SERVER_STATES,
    SERVER_SUBSETS,
)
from ..decisions.places import list_evacuated
from ..decisions.routing import count_server_uses
from ..records import (
    AttemptRecord,
    DomainName,
    HandledRequest,
    LeaseHeld,
    LeaseLapsed,
    LeaseState,
    NotRun,
    Outcome,
    Placement,
    Ran,
    Request,
    ServiceName,
    Unknown,
)
from ..utils import Clock

__all__ = ["RequestLog"]

MAX_SUCCESS_LINES_PER_S = 50  # further ones in the same second are only counted
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
DECIMAL_PLACES = 4

log = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class RequestLog:
    """Log requests with the ages of the data that decisions rest on.

    When a request is not served, the servers that this host leaves out are logged too,
    once a second for each service.
    """

    board: Board
    clock: Clock
    domain: DomainName
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _second: int = field(default=0, init=False)
    _lines: int = field(default=0, init=False)
    _omitted: int = field(default=0, init=False)
    _servers_logged: dict[ServiceName, int] = field(factory=dict, init=False)

    def write(
        self, request: Request, handled: HandledRequest, *, started_s: float
    ) -> None:
        """Log the outcome of a request; limit the rate of lines about successes."""
        now_s = self.clock.monotonic_s()
        is_success = handled.reply.status < FIRST_ERROR_STATUS
        if is_success and not self._may_log_success(int(now_s)):
            return
        omitted, self._omitted = self._omitted, 0
        cfg = self.board.read(CONFIGURATION)
        view = self.board.read(FLEET_VIEW)
        fields = {
            "request": request.request_id,
            "organisation": handled.organisation,
            "service": handled.service,
            "status": handled.reply.status,
            "outcome": type(handled.reply.outcome).__name__,
            "rule": handled.rule,
            "reason": _outcome_reason(handled.reply.outcome),
            "took_s": round(now_s - started_s, DECIMAL_PLACES),
            "attempts": [_describe_attempt(attempt) for attempt in handled.attempts],
            "configuration": cfg.version,
            "lease": _describe_lease(self.board.read(LEASE), now_s),
            "view_age_s": _age_s(view.as_of_s, now_s),
            "folded": omitted,
        }
        log.info("request", extra=fields)
        is_failure = handled.reply.status >= FIRST_SERVER_ERROR_STATUS
        if is_failure and handled.service is not None:
            self._log_servers(handled.service, now_s)

    def _log_servers(self, service: ServiceName, now_s: float) -> None:
        """Log how many servers this host prefers and leaves out, by reason."""
        subset = self.board.read(SERVER_SUBSETS).by_service.get(service)
        with self._lock:
            is_logged = self._servers_logged.get(service) == int(now_s)
            self._servers_logged[service] = int(now_s)
        if subset is None or is_logged:
            return
        evacuated = list_evacuated(self.board.read(EVACUATION_FEED), now_s=now_s)
        members = [
            member for member in subset.members if member.rule.domain not in evacuated
        ]
        uses = {
            kind: count_server_uses(
                evolve(subset, members=tuple(members)),
                self.board.read(SERVER_LOADS),
                self.board.read(SERVER_STATES),
                Placement(domain=self.domain, repeatable=repeatable),
                now_s=now_s,
                rng=Random(0),
            )
            for kind, repeatable in (("repeatable", True), ("run_once", False))
        }
        left_out = len(subset.members) - len(members)
        log.info("servers", extra={"service": service, "evacuated": left_out, **uses})

    def _may_log_success(self, second: int) -> bool:
        with self._lock:
            if second != self._second:
                self._second, self._lines = second, 0
            self._lines += 1
            if self._lines <= MAX_SUCCESS_LINES_PER_S:
                return True
            self._omitted += 1
            return False


def _describe_attempt(attempt: AttemptRecord) -> str:
    server = f"{attempt.server} {attempt.server.instance}".rstrip()
    return f"{server}: {attempt.result}, {attempt.took_s:.4f} s"


def _describe_lease(lease: LeaseState, now_s: float) -> str:
    match lease:
        case LeaseHeld(until_s=until_s):
            return f"held for {until_s - now_s:.2f} s"
        case LeaseLapsed(reason=reason):
            return f"lapsed: {reason}"


def _outcome_reason(outcome: Outcome) -> str:
    match outcome:
        case Ran():
            return ""
        case NotRun(reason=reason) | Unknown(reason=reason):
            return reason


def _age_s(as_of_s: float | None, now_s: float) -> float | None:
    return None if as_of_s is None else round(now_s - as_of_s, DECIMAL_PLACES)
