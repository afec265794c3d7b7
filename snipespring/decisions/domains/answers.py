"""Count the good answers of servers that hosts tell each other."""

from bisect import bisect_left
from collections.abc import Iterable

from immutables import Map

from ...records import AnswerLog, HostReport, ReportDigest, ServerAnswers

__all__ = [
    "ANSWER_WINDOW_S",
    "count_server_answers",
    "count_answers_by_server",
    "record_answers",
    "sum_answers",
]

ANSWER_WINDOW_S = 2.0  # a server that answered within this was sound then


def record_answers(
    log: AnswerLog, instance: str, count: int, now_s: float
) -> AnswerLog:
    """Return the log with more answers of a server and without old ones."""
    start_s = now_s - ANSWER_WINDOW_S
    kept = {
        name: times[bisect_left(times, start_s) :]
        for name, times in log.by_instance.items()
        if times[-1] >= start_s
    }
    kept[instance] = (*kept.get(instance, ()), *(now_s,) * count)
    return AnswerLog(by_instance=Map(kept))


def count_server_answers(log: AnswerLog, instance: str, *, now_s: float) -> int:
    """Return how many good answers of one server the window holds."""
    times = log.by_instance.get(instance, ())
    return len(times) - bisect_left(times, now_s - ANSWER_WINDOW_S)


def count_answers_by_server(
    log: AnswerLog, *, now_s: float
) -> tuple[ServerAnswers, ...]:
    """Return how many good answers of each server the window holds."""
    counts = (
        ServerAnswers(instance=name, good=count_server_answers(log, name, now_s=now_s))
        for name in sorted(log.by_instance)
    )
    return tuple(one for one in counts if one.good)


def sum_answers(messages: Iterable[HostReport | ReportDigest]) -> Map[str, int]:
    """Return the good answers that messages state, by server instance."""
    total: dict[str, int] = {}
    for message in messages:
        for one in message.answers:
            total[one.instance] = total.get(one.instance, 0) + one.good
    return Map(total)
