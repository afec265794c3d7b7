"""Decide when an avoided server of a failing service gets a trial request.

Servers that failed are avoided for longer than many failures last. While other servers
of the service fail, the ones that recovered have to be found soon: they are tried by a
bounded share of the requests, whatever their estimated risk.
"""

from collections.abc import Sequence
from random import Random

from ...records import (
    AnswerLog,
    FleetView,
    RecentOutcomes,
    ServerId,
    ServerStates,
    ServerSubset,
    ServerSuspected,
)
from ..domains.answers import ANSWER_WINDOW_S, count_server_answers

__all__ = ["count_recent_outcomes", "draw_trial"]

# Share of failed requests from which a service is taken to be failing.
FAILING_SHARE = 0.08
MIN_FAILURES = 2  # a single failure is likely to be one of a healthy server
FAILURE_WINDOW_S = 1.0
# A server is tried once its last failure is this old: from then on the platform counts
# it as sound, unless a disturbance goes on,
FAILURE_PAUSE_S = 2.0
# and once no outcome of it became known for this long.
TRIAL_INTERVAL_S = 0.3
# Trials of each such server per second, by all hosts together.
TRIALS_PER_S = 4.0
MAX_TRIAL_SHARE = 0.4  # of a service's requests
# Added to the floor, since some sound servers that are not avoided get no request for
# some seconds by chance.
FLOOR_MARGIN = 0.05


def count_recent_outcomes(
    subset: ServerSubset,
    answers: AnswerLog,
    failures: AnswerLog,
    view: FleetView,
    *,
    now_s: float,
) -> RecentOutcomes:
    """Return the outcomes of a service's requests on all hosts.

    Good answers are known for this host's failure domain only; the same number is
    assumed for each of the others.
    """
    names = [member.rule.server.instance for member in subset.members]
    failed = sum(
        count_server_answers(failures, name, now_s=now_s, window_s=FAILURE_WINDOW_S)
        for name in names
    )
    if not failed:
        return RecentOutcomes()
    good = sum(
        count_server_answers(answers, name, now_s=now_s) + view.answers.get(name, 0)
        for name in names
    )
    domains = len({member.rule.domain for member in subset.members})
    return RecentOutcomes(
        good_per_s=domains * good / ANSWER_WINDOW_S,
        failed_per_s=failed / FAILURE_WINDOW_S,
    )


def draw_trial(
    avoided: Sequence[ServerId],
    states: ServerStates,
    outcomes: RecentOutcomes,
    *,
    usable: int,
    floor_share: float,
    now_s: float,
    rng: Random,
) -> ServerId | None:
    """Return the avoided server that a request is to try, None for no trial.

    Besides the `usable` servers, the avoided ones that are due for a trial are likely
    to be sound. `floor_share` of the sound servers have to get requests.
    """
    due = [server for server in avoided if _is_due(states, server, now_s)]
    max_untried = (1.0 - floor_share - FLOOR_MARGIN) * (usable + len(due))
    if len(due) <= max_untried or not _is_failing(outcomes):
        return None
    rate_per_s = outcomes.good_per_s + outcomes.failed_per_s
    share = min(MAX_TRIAL_SHARE, len(due) * TRIALS_PER_S / rate_per_s)
    return rng.choice(due) if due and rng.random() < share else None


def _is_failing(outcomes: RecentOutcomes) -> bool:
    """Return whether more requests of the service fail than healthy servers cause."""
    total_per_s = outcomes.failed_per_s + outcomes.good_per_s
    return (
        outcomes.failed_per_s * FAILURE_WINDOW_S >= MIN_FAILURES
        and outcomes.failed_per_s >= FAILING_SHARE * total_per_s
    )


def _is_due(states: ServerStates, server: ServerId, now_s: float) -> bool:
    match states.by_server.get(server):
        case ServerSuspected(at_s=at_s, failed_s=failed_s):
            return (
                now_s - failed_s >= FAILURE_PAUSE_S and now_s - at_s >= TRIAL_INTERVAL_S
            )
        case _:
            return True
