"""Admit requests within their organisation's rate, by the counts of all hosts."""

from random import Random

from attrs import define

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
    prune_usage,
    record_admission,
    record_request,
)
from ..records import Admission, Admitted, OrganisationName, UsageLog
from ..settings import GatewayLimitSettings
from ..utils import Clock
from .metrics_recorder import MetricsRecorder

__all__ = ["UsageLimiter"]


@define(kw_only=True, eq=False)
class UsageLimiter:
    """Write the usage log on the callers' threads."""

    board: Board
    clock: Clock
    rng: Random
    metrics: MetricsRecorder
    limits: GatewayLimitSettings
    name: str = "usage_limiter"

    def admit(
        self, organisation: OrganisationName, *, deadline_at_s: float
    ) -> Admission:
        """Count one request and return whether it is admitted."""
        rule = self.board.read(CONFIGURATION).organisations.get(organisation)
        if rule is None:
            return Admitted()
        tolerance = self._rate_tolerance()
        view = self.board.read(FLEET_VIEW)
        known_hosts = max(1, len(self.board.read(HOST_FEED).items))
        now_s = self.clock.monotonic_s()

        def decide(log: UsageLog) -> tuple[UsageLog, Admission]:
            log = prune_usage(log, window_s=tolerance.window_s, now_s=now_s)
            log = record_request(log, organisation, now_s)
            admission = admit_request(
                rule,
                tolerance,
                log.by_organisation[organisation],
                view,
                known_hosts=known_hosts,
                now_s=now_s,
                rng=self.rng,
            )
            match admission:
                case Admitted():
                    return record_admission(log, organisation, now_s), admission
                case _:
                    return log, admission

        admission = self.board.transact(USAGE_LOG, decide, writer=self.name)
        self.metrics.count("admissions", type(admission).__name__)
        return admission

    def _rate_tolerance(self) -> RateTolerance:
        """Return the tolerance of the current settings."""
        settings = self.board.read(SETTINGS)
        limits = self.limits if settings is None else settings.limits
        return RateTolerance(
            window_s=limits.window_s, overshoot=limits.overshoot, slack=limits.slack
        )
