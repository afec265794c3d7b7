from attrs import evolve

from snipespring.decisions.domains import (
    HubKnowledge,
    RateTolerance,
    answer_query,
    renew_tenure,
)
from snipespring.records import (
    AdmissionQuery,
    DomainName,
    DomainReports,
    GrantLog,
    HostId,
    HubTenure,
    Incarnation,
    OrganisationName,
    OrganisationRule,
    OrganisationUsage,
)

NAME = OrganisationName("valeters")
TOLERANCE = RateTolerance(window_s=5.0, overshoot=0.1, slack=20.0)
RULE = OrganisationRule(name=NAME, rate_per_s=8.0, burst=8.0, asked_by="a test")
TENURE = HubTenure(since_s=0.0, hub_since_s=0.0, checked_s=100.0)
KNOWLEDGE = HubKnowledge(
    domain=DomainName("a"), reports=DomainReports(), known_hosts={DomainName("a"): 1}
)


def ask(
    log: GrantLog,
    number: int,
    *,
    priority: int = 0,
    admitted: int = 0,
    tenure: HubTenure = TENURE,
) -> tuple[GrantLog, bool | None, float]:
    query = AdmissionQuery(
        sender=HostId("a-1"),
        incarnation=Incarnation("first"),
        number=number,
        usage=OrganisationUsage(organisation=NAME, admitted=admitted, received=1),
        priority=priority,
    )
    log, answer = answer_query(
        log,
        query,
        RULE,
        TOLERANCE,
        KNOWLEDGE,
        tenure,
        own_id=HostId("a-0"),
        now_s=100.0,
    )
    if not answer.is_decided:
        return log, None, 0.0
    retry_after_s = answer.refusal.retry_after_s if answer.refusal else 0.0
    return log, answer.refusal is None, retry_after_s


def count_granted(log: GrantLog) -> int:
    return len(log.by_organisation[NAME].granted)


def test_repeated_query_is_answered_again_and_counts_once() -> None:
    """Guard against a window used up by resent or duplicated datagrams."""
    log, *_ = ask(GrantLog(), 1)
    log, is_granted, _ = ask(log, 1)
    assert is_granted
    assert count_granted(log) == 1


def test_new_or_paused_hub_decides_nothing() -> None:
    """Guard against grants before the predecessor's grants are known."""
    assert ask(GrantLog(), 1, tenure=evolve(TENURE, since_s=99.8))[1] is None
    assert ask(GrantLog(), 1, tenure=evolve(TENURE, checked_s=98.0))[1] is None
    paused = renew_tenure(TENURE, is_hub=True, is_first_hub=True, now_s=103.0)
    assert paused.since_s == 103.0


def test_most_urgent_requests_are_refused_last() -> None:
    """Guard against urgent requests refused while others of the organisation pass."""
    log, *_ = ask(GrantLog(), 0)
    granted = []
    for number in range(1, 100):
        log, is_granted, _ = ask(log, number, priority=5)
        granted.append(is_granted)
    assert granted[0] and not granted[-1]
    assert ask(log, 100, priority=0)[1]


def test_refusal_states_when_the_next_admission_leaves_the_window() -> None:
    """Guard against callers that retry before there is room."""
    log = GrantLog()
    for number in range(200):
        log, is_granted, retry_after_s = ask(log, number)
    assert not is_granted
    assert retry_after_s == 5.0
    assert count_granted(log) <= (8 * 5 + 8) * 1.1 + 20
