import pytest
from attrs import evolve

from snipespring.decisions.health import SentReport, is_due, select_changed
from snipespring.records import ServerReport

from .builders import SERVERS, answers, make_report, with_errors

QUIET = make_report(1, 1, dict.fromkeys(SERVERS, answers(3))).servers
MORE = (evolve(QUIET[0], counts=answers(4)), *QUIET[1:])
WORSE = (evolve(QUIET[0], counts=with_errors(answers(3), 1)), *QUIET[1:])


@pytest.mark.parametrize(
    "servers, has_entries, waited_s, due",
    [
        (QUIET, False, 60.0, False),
        (QUIET, True, 0.5, True),
        (MORE, False, 0.4, False),
        (MORE, False, 0.5, True),
        (WORSE, False, 0.2, False),
        (WORSE, False, 0.25, True),
    ],
)
def test_news_of_failures_is_reported_soonest(
    servers: tuple[ServerReport, ...], has_entries: bool, waited_s: float, due: bool
) -> None:
    answer = is_due(
        SentReport(at_s=0.0, servers=QUIET),
        servers,
        slow_bucket=30,
        has_entries=has_entries,
        now_s=waited_s,
    )
    assert answer == due


def test_only_changed_servers_are_sent_after_a_complete_report() -> None:
    assert select_changed(None, MORE) == MORE
    assert select_changed(SentReport(at_s=0.0, servers=QUIET), MORE) == MORE[:1]
