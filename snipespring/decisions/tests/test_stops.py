from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.stops import (
    REPLY_MARGIN_S,
    BeginRequest,
    RefuseRequest,
    check_stop,
)
from snipespring.records import Leaving, Serving

times = st.floats(0.0, 100.0)


@given(
    until_s=times,
    lenient_until_s=times,
    now_s=times,
    deadline_s=st.floats(0.0, 20.0),
)
def test_a_stop_begins_late_requests_only_if_their_answers_fit(
    until_s: float, lenient_until_s: float, now_s: float, deadline_s: float
) -> None:
    deadline_at_s = now_s + deadline_s
    stop = Leaving(until_s=until_s, lenient_until_s=lenient_until_s)
    found = check_stop(stop, deadline_at_s=deadline_at_s, now_s=now_s)
    fits = deadline_at_s + REPLY_MARGIN_S <= until_s
    is_begun = fits or now_s < lenient_until_s
    assert isinstance(found, BeginRequest if is_begun else RefuseRequest)


def test_only_a_host_that_is_not_finished_begins_requests() -> None:
    finished = Leaving(until_s=99.0, lenient_until_s=99.0, finished=True)
    found = check_stop(finished, deadline_at_s=1.0, now_s=0.0)
    assert isinstance(found, RefuseRequest)
    found = check_stop(Serving(), deadline_at_s=1e9, now_s=0.0)
    assert isinstance(found, BeginRequest)


def test_a_refusal_says_how_long_the_host_and_the_request_have() -> None:
    found = check_stop(Leaving(until_s=12.6), deadline_at_s=13.0, now_s=10.0)
    reason = "the host stops in 2.6 s, the request may take 3.0 s"
    assert found == RefuseRequest(reason=reason)
