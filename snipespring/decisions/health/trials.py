"""Bring a server back by a growing share of real work."""

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
TRIAL_UNDECIDED_PASS_S = 5.0


def ejection_duration_s(count: int, policy: HealthPolicy) -> float:
    """Return how long the ejection of this count lasts in seconds."""
    return min(policy.max_ejection_s, float(policy.base_ejection_s * 2 ** (count - 1)))


def advance_entry(
    entry: ActiveEjection | ActiveTrial,
    fresh: Tally,
    policy: HealthPolicy,
    *,
    baseline: float,
    now_s: float,
) -> ActiveEjection | ActiveTrial | PastEjection:
    """Return what follows an entry after the evidence of one round.

    `baseline` is the share of bad attempts at the servers in service.
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
    trial: ActiveTrial, fresh: Tally, policy: HealthPolicy, base: float, now_s: float
) -> ActiveEjection | ActiveTrial | PastEjection:
    base = max(base, policy.min_baseline_failure_ratio)
    score = trial.score + log_likelihood_ratio(
        fresh, base, unhealthy_failure_ratio(base, policy)
    )
    if score >= TRIAL_FAIL_SCORE:
        return eject_again(trial, policy, now_s)
    trial = evolve(trial, score=score)
    waited_s = now_s - trial.stage_since_s
    passed = score <= TRIAL_PASS_SCORE and waited_s >= TRIAL_STAGE_MIN_S
    unproved = score <= 0 and waited_s >= TRIAL_UNDECIDED_PASS_S
    if not passed and not unproved:
        return trial
    if trial.stage + 1 < len(policy.trial_shares):
        return evolve(trial, stage=trial.stage + 1, stage_since_s=now_s, score=0.0)
    return PastEjection(ended_s=now_s, count=trial.count)


def eject_again(
    trial: ActiveTrial, policy: HealthPolicy, now_s: float
) -> ActiveEjection:
    """Return the longer ejection that follows a failed trial."""
    count = trial.count + 1
    hold_s = ejection_duration_s(count, policy)
    reason = f"failed its trial; ejected {count} times, last for {hold_s:g} s"
    return ActiveEjection(
        reason=reason, since_s=now_s, until_s=now_s + hold_s, count=count
    )
