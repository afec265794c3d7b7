"""Return an ejected server to service with a growing share of real requests."""

from attrs import evolve

from ...records import (
    ActiveEjection,
    ActiveTrial,
    HealthPolicy,
    PastEjection,
    Tally,
)
from .scoring import log_likelihood_ratio, unhealthy_failure_ratio

__all__ = ["advance_entry", "eject_again", "ejection_duration_s"]

TRIAL_FAIL_SCORE = 4.5
TRIAL_PASS_SCORE = -2.0
TRIAL_STAGE_MIN_S = 1.0
# A stage passes after this time even if the score is only 0 or less.
TRIAL_UNDECIDED_PASS_S = 5.0


def ejection_duration_s(count: int, policy: HealthPolicy) -> float:
    """Return the duration of a server's ejection number `count` in seconds."""
    return min(policy.max_ejection_s, float(policy.base_ejection_s * 2 ** (count - 1)))


def advance_entry(
    entry: ActiveEjection | ActiveTrial,
    fresh: Tally,
    policy: HealthPolicy,
    *,
    baseline: float,
    now_s: float,
) -> ActiveEjection | ActiveTrial | PastEjection:
    """Return the entry, or the return to service, that follows fresh evidence.

    `baseline` is the failure ratio of the servers in service.
    """
    match entry:
        case ActiveEjection(until_s=until_s) if now_s < until_s:
            return entry
        case ActiveEjection():
            return ActiveTrial(
                reason=entry.reason,
                stage=0,
                since_s=entry.since_s,
                stage_since_s=now_s,
                count=entry.count,
            )
        case ActiveTrial():
            return _advance_trial(entry, fresh, policy, baseline, now_s)


def _advance_trial(
    trial: ActiveTrial,
    fresh: Tally,
    policy: HealthPolicy,
    baseline: float,
    now_s: float,
) -> ActiveEjection | ActiveTrial | PastEjection:
    baseline = max(baseline, policy.min_baseline_failure_ratio)
    score = trial.score + log_likelihood_ratio(
        fresh, baseline, unhealthy_failure_ratio(baseline, policy)
    )
    if score >= TRIAL_FAIL_SCORE:
        return eject_again(trial, policy, now_s)
    trial = evolve(trial, score=score)
    elapsed_s = now_s - trial.stage_since_s
    is_passed = score <= TRIAL_PASS_SCORE and elapsed_s >= TRIAL_STAGE_MIN_S
    is_undecided = score <= 0 and elapsed_s >= TRIAL_UNDECIDED_PASS_S
    if not is_passed and not is_undecided:
        return trial
    if trial.stage + 1 < len(policy.trial_shares):
        return evolve(trial, stage=trial.stage + 1, stage_since_s=now_s, score=0.0)
    return PastEjection(ended_s=now_s, count=trial.count)


def eject_again(
    trial: ActiveTrial, policy: HealthPolicy, now_s: float
) -> ActiveEjection:
    """Return the longer ejection that follows a failed trial."""
    count = trial.count + 1
    duration_s = ejection_duration_s(count, policy)
    reason = f"failed its trial; ejection number {count}, for {duration_s:g} s"
    return ActiveEjection(
        reason=reason, since_s=now_s, until_s=now_s + duration_s, count=count
    )
