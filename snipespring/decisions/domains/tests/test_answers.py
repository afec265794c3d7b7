from snipespring.decisions.domains import (
    count_answers_by_server,
    count_server_answers,
    record_answers,
)
from snipespring.records import AnswerLog, ServerAnswers


def test_only_answers_within_the_window_count() -> None:
    log = record_answers(AnswerLog(), "i-1", 2, 10.0)
    log = record_answers(log, "i-1", 1, 11.0)
    assert count_server_answers(log, "i-1", now_s=11.5) == 3
    assert count_server_answers(log, "i-1", now_s=12.5) == 1
    assert count_server_answers(log, "i-2", now_s=11.5) == 0
    assert count_answers_by_server(log, now_s=11.5) == (
        ServerAnswers(instance="i-1", good=3),
    )
    assert count_answers_by_server(log, now_s=20.0) == ()


def test_servers_without_recent_answers_are_removed_from_the_log() -> None:
    log = record_answers(AnswerLog(), "i-1", 2, 10.0)
    log = record_answers(log, "i-2", 1, 13.0)
    assert set(log.by_instance) == {"i-2"}
