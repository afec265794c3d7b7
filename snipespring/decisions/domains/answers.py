"""Count the good answers of servers, which hosts report to each other."""

from bisect import bisect_left
from collections.abc import Iterable

from immutables import Map

from ...records import AnswerLog, HostReport, ServerAnswers

__all__ = [
    "ANSWER_WINDOW_S",
    "count_answers_by_server",
    "count_server_answers",
    "record_answers",
    "sum_answers",
]

ANSWER_WINDOW_S = 2.0  # a server that answered within this time counts as healthy


def record_answers(
    log: AnswerLog, instance: str, count: int, now_s: float
) -> AnswerLog:
    """Return the log with `count` new answers of a server and without old ones."""
    start_s = now_s - ANSWER_WINDOW_S
    recent = {
        name: times[bisect_left(times, start_s) :]
        for name, times in log.by_instance.items()
        if times[-1] >= start_s
    }
    recent[instance] = (*recent.get(instance, ()), *(now_s,) * count)
    return AnswerLog(by_instance=Map(recent))


def count_server_answers(
    log: AnswerLog, instance: str, *, now_s: float, window_s: float = ANSWER_WINDOW_S
) -> int:
    """Return the number of logged outcomes of one server within `window_s` seconds."""
    times = log.by_instance.get(instance, ())
    return len(times) - bisect_left(times, now_s - window_s)


def count_answers_by_server(
    log: AnswerLog, *, now_s: float
) -> tuple[ServerAnswers, ...]:
    """Return the number of good answers of each server within the window."""
    counts = (
        ServerAnswers(instance=name, good=count_server_answers(log, name, now_s=now_s))
        for name in sorted(log.by_instance)
    )
    return tuple(count for count in counts if count.good)


def sum_answers(messages: Iterable[HostReport]) -> Map[str, int]:
    """Return the total of reported good answers by server instance."""
    totals: dict[str, int] = {}
    for message in messages:
        for count in message.answers:
            totals[count.instance] = totals.get(count.instance, 0) + count.good
    return Map(totals)
