"""Set the tests and the recovery by the preference of the service's rule."""

from math import log

from ...records import (
    EjectCarefully,
    EjectionPreference,
    EjectQuickly,
    HealthPolicy,
)

__all__ = ["policy_of"]

CAREFUL_FALSE_ALARM_RATE = 1e-10
QUICK_FALSE_ALARM_RATE = 3e-8
TRIAL_SHARES = (0.02, 0.1, 0.3)

CAREFUL = HealthPolicy(
    ejection_score=-log(CAREFUL_FALSE_ALARM_RATE),
    min_baseline_failure_ratio=0.01,
    min_unhealthy_failure_ratio=0.3,
    unhealthy_odds_ratio=8.0,
    base_ejection_s=8.0,
    max_ejection_s=300.0,
    trial_shares=TRIAL_SHARES,
)
QUICK = HealthPolicy(
    ejection_score=-log(QUICK_FALSE_ALARM_RATE),
    min_baseline_failure_ratio=0.01,
    min_unhealthy_failure_ratio=0.3,
    unhealthy_odds_ratio=6.0,
    base_ejection_s=5.0,
    max_ejection_s=300.0,
    trial_shares=TRIAL_SHARES,
)


def policy_of(preference: EjectionPreference) -> HealthPolicy:
    """Return the policy of a preference."""
    match preference:
        case EjectCarefully():
            return CAREFUL
        case EjectQuickly():
            return QUICK
