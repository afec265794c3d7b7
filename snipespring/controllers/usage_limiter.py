"""Admit requests within their organisation's rate, by the counts of all hosts."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    FLEET_VIEW,
    HOST_FEED,
    SETTINGS,
    USAGE_LOG,
)
from ..decisions.domains import (
    RateTolerance,
    admit_request,
    admit_without_hub,
    count_organisation_usage,
    is_query_due,
    prune_usage,
    record_admission,
    record_request,
)
from ..records import (
    Admission,
    Admitted,
    OrganisationName,
    OrganisationRule,
    OrganisationTimes,
    OrganisationUsage,
    UsageLog,
)
from ..settings import GatewayLimitSettings
from ..utils import Clock
from .admission import AdmissionAsking
from .metrics_recorder import MetricsRecorder

__all__ = ["UsageLimiter", "read_tolerance"]


@define(kw_only=True, eq=False)
class UsageLimiter:
    """Write the usage log on the callers' threads.

    Above half of an organisation's window the first hub of the domain decides, by
    `asker`. Without its answer this host decides by the counts that it has.
    """

    board: Board
    clock: Clock
    rng: Random
    metrics: MetricsRecorder
    limits: GatewayLimitSettings
    asker: AdmissionAsking
    name: str = "usage_limiter"
    _started_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Record when this process started."""
        self._started_s = self.clock.monotonic_s()

    def admit(
        self,
        organisation: OrganisationName,
        *,
        deadline_at_s: float,
        priority: int = 0,
    ) -> Admission:
        """Count one request and return whether it is admitted."""
        rule = self.board.read(CONFIGURATION).organisations.get(organisation)
        if rule is None:
            return Admitted()
        tolerance = read_tolerance(self.board, self.limits)
        usage = self.board.transact(
            USAGE_LOG,
            lambda log: self._record_request(log, rule, tolerance),
            writer=self.name,
        )
        if usage is None:
            admission = self._admit_alone(rule, tolerance)
        else:
            answer = self.asker.ask(
                usage, priority=priority, deadline_at_s=deadline_at_s
            )
            if answer is None:
                admission = self._admit_without_hub(rule, tolerance)
            else:
                admission = answer.refusal or self._record_grant(organisation)
        self.metrics.count("admissions", type(admission).__name__)
        return admission

    def _record_request(
        self, log: UsageLog, rule: OrganisationRule, tolerance: RateTolerance
    ) -> tuple[UsageLog, OrganisationUsage | None]:
        """Return the usage to ask a hub with, or None if this host decides alone."""
        now_s = self.clock.monotonic_s()
        log = prune_usage(log, window_s=tolerance.window_s, now_s=now_s)
        log = record_request(log, rule.name, now_s)
        times = log.by_organisation[rule.name]
        view = self.board.read(FLEET_VIEW)
        known_hosts = self._count_known_hosts()
        if not is_query_due(
            rule, tolerance, times, view, known_hosts=known_hosts, now_s=now_s
        ):
            return log, None
        usage = count_organisation_usage(
            rule.name, times, window_s=tolerance.window_s, now_s=now_s
        )
        return log, usage

    def _record_grant(self, organisation: OrganisationName) -> Admitted:
        self.board.update(
            USAGE_LOG,
            lambda log: record_admission(log, organisation, self.clock.monotonic_s()),
            writer=self.name,
        )
        return Admitted()

    def _admit_alone(
        self, rule: OrganisationRule, tolerance: RateTolerance
    ) -> Admission:
        return self._decide(
            rule,
            tolerance,
            lambda times, now_s: admit_request(
                rule,
                tolerance,
                times,
                self.board.read(FLEET_VIEW),
                known_hosts=self._count_known_hosts(),
                now_s=now_s,
                rng=self.rng,
            ),
        )

    def _admit_without_hub(
        self, rule: OrganisationRule, tolerance: RateTolerance
    ) -> Admission:
        return self._decide(
            rule,
            tolerance,
            lambda times, now_s: admit_without_hub(
                rule,
                tolerance,
                times,
                self.board.read(FLEET_VIEW),
                known_hosts=self._count_known_hosts(),
                running_s=now_s - self._started_s,
                now_s=now_s,
                rng=self.rng,
            ),
        )

    def _decide(
        self,
        rule: OrganisationRule,
        tolerance: RateTolerance,
        decide: Callable[[OrganisationTimes, float], Admission],
    ) -> Admission:
        def change(log: UsageLog) -> tuple[UsageLog, Admission]:
            now_s = self.clock.monotonic_s()
            log = prune_usage(log, window_s=tolerance.window_s, now_s=now_s)
            times = log.by_organisation.get(rule.name, OrganisationTimes())
            admission = decide(times, now_s)
            match admission:
                case Admitted():
                    return record_admission(log, rule.name, now_s), admission
                case _:
                    return log, admission

        return self.board.transact(USAGE_LOG, change, writer=self.name)

    def _count_known_hosts(self) -> int:
        return max(1, len(self.board.read(HOST_FEED).items))


def read_tolerance(board: Board, limits: GatewayLimitSettings) -> RateTolerance:
    """Return the tolerance of the current settings, of `limits` before any."""
    settings = board.read(SETTINGS)
    limits = limits if settings is None else settings.limits
    return RateTolerance(
        window_s=limits.window_s, overshoot=limits.overshoot, slack=limits.slack
    )
