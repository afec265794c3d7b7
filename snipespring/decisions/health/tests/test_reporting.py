import pytest
from attrs import evolve

from snipespring.decisions.health import (
    SentReport,
    is_report_due,
    select_changed_reports,
)
from snipespring.records import ServerReport

from .builders import SERVERS, add_errors, count_answers, make_report

UNCHANGED = make_report(1, 1, dict.fromkeys(SERVERS, count_answers(3))).servers
MORE_ANSWERS = (evolve(UNCHANGED[0], counts=count_answers(4)), *UNCHANGED[1:])
MORE_ERRORS = (
    evolve(UNCHANGED[0], counts=add_errors(count_answers(3), 1)),
    *UNCHANGED[1:],
)


@pytest.mark.parametrize(
    "servers, has_entries, waited_s, due",
    [
        (UNCHANGED, False, 60.0, False),
        (UNCHANGED, True, 0.5, True),
        (MORE_ANSWERS, False, 0.4, False),
        (MORE_ANSWERS, False, 0.5, True),
        (MORE_ERRORS, False, 0.2, False),
        (MORE_ERRORS, False, 0.25, True),
    ],
)
def test_new_failures_are_reported_soonest(
    servers: tuple[ServerReport, ...], has_entries: bool, waited_s: float, due: bool
) -> None:
    answer = is_report_due(
        SentReport(at_s=0.0, servers=UNCHANGED),
        servers,
        slow_bucket=30,
        has_entries=has_entries,
        now_s=waited_s,
    )
    assert answer == due


def test_only_changed_servers_are_sent_after_a_complete_report() -> None:
    assert select_changed_reports(None, MORE_ANSWERS) == MORE_ANSWERS
    assert (
        select_changed_reports(SentReport(at_s=0.0, servers=UNCHANGED), MORE_ANSWERS)
        == MORE_ANSWERS[:1]
    )
