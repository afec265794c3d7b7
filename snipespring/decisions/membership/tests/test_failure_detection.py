from immutables import Map

from snipespring.decisions.membership import (
    SilenceTimeouts,
    choose_neighbours,
    list_hosts_to_remove,
    list_silent_peers,
    rank_hosts,
)
from snipespring.records import (
    Host,
    HostContacts,
    HostId,
    HostStatus,
    HostStatuses,
    HostView,
    Roster,
    Versions,
)

from .fleet_model import make_roster

NOW_S = 1000.0
LIMITS = SilenceTimeouts(silence_s=5.0, unconfirmed_silence_s=30.0)
FANOUT = 4


def removed_by(
    own_host: Host,
    roster: Roster,
    silent: set[HostId],
    *,
    not_reporting: frozenset[HostId] = frozenset(),
    age_s: float = 10.0,
) -> tuple[HostId, ...]:
    """Return what `own_host` removes when the silent were last heard `age_s` ago."""
    views = {}
    for host in roster.hosts.values():
        pullers = [
            other.host_id
            for other in roster.hosts.values()
            if host in choose_neighbours(roster, other, FANOUT)
            and other.host_id in silent
        ]
        status = HostStatus(
            host_id=host.host_id,
            incarnation=host.incarnation,
            sequence=1,
            versions=Versions(configuration=1, roster=roster.version),
            unheard=() if host.host_id in not_reporting else tuple(pullers),
        )
        last_s = NOW_S - (age_s if host.host_id in silent else 0.5)
        views[host.host_id] = HostView(status=status, as_of_s=last_s)
    return list_hosts_to_remove(
        own_host=own_host,
        roster=roster,
        statuses=HostStatuses(by_host=Map(views)),
        contacts=HostContacts(first_listed_s=Map(dict.fromkeys(roster.hosts, 0.0))),
        fanout=FANOUT,
        timeouts=LIMITS,
        now_s=NOW_S,
    )


def editors(roster: Roster, silent: set[HostId]) -> list[Host]:
    return [
        host
        for host in roster.hosts.values()
        if host.host_id not in silent and removed_by(host, roster, silent)
    ]


def test_exactly_one_host_removes_a_silent_one() -> None:
    roster = make_roster(12)
    for host_id in roster.hosts:
        (editor,) = editors(roster, {host_id})
        assert removed_by(editor, roster, {host_id}) == (host_id,)


def test_next_in_rank_edits_when_the_editor_is_silent() -> None:
    roster = make_roster(12)
    first = rank_hosts(roster.hosts.values(), "roster editor")[0]
    (editor,) = editors(roster, {first.host_id})
    assert editor != first


def test_a_lost_domain_is_removed_at_once() -> None:
    roster = make_roster(12)
    lost = {host.host_id for host in roster.hosts.values() if host.domain == "d1"}
    (editor,) = editors(roster, lost)
    assert set(removed_by(editor, roster, lost)) == lost


def test_a_host_that_hears_half_or_less_removes_nobody() -> None:
    roster = make_roster(12)
    silent = set(sorted(roster.hosts)[:6])
    assert editors(roster, silent) == []
    assert len(editors(roster, set(sorted(roster.hosts)[:5]))) == 1


def test_silence_that_observers_do_not_confirm_waits_for_the_longer_limit() -> None:
    roster = make_roster(12)
    host_id = sorted(roster.hosts)[0]
    mute = frozenset(roster.hosts)
    for own in roster.hosts.values():
        assert removed_by(own, roster, {host_id}, not_reporting=mute) == ()
    found = [
        removed_by(own, roster, {host_id}, not_reporting=mute, age_s=31.0)
        for own in roster.hosts.values()
        if own.host_id != host_id
    ]
    assert sorted(found)[-1] == (host_id,)


def is_removed(silent: set[HostId], not_reporting: set[HostId]) -> bool:
    roster = make_roster(12)
    return any(
        HostId("h000")
        in removed_by(own, roster, silent, not_reporting=frozenset(not_reporting))
        for own in roster.hosts.values()
    )


def observers_by_domain() -> dict[str, list[HostId]]:
    roster = make_roster(12)
    found: dict[str, list[HostId]] = {}
    for other in choose_neighbours(roster, roster.hosts[HostId("h000")], FANOUT):
        found.setdefault(other.domain, []).append(other.host_id)
    return found


def test_reports_of_one_domain_do_not_remove_a_host() -> None:
    pair, *singles = sorted(observers_by_domain().values(), key=len, reverse=True)
    assert [len(pair), len(singles)] == [2, 2]
    silent = {HostId("h000"), *singles[0]}
    assert not is_removed(silent, not_reporting=set(singles[1]))
    assert is_removed(silent, not_reporting=set())


def test_reports_of_half_of_the_observers_do_not_remove_a_host() -> None:
    pair, *singles = sorted(observers_by_domain().values(), key=len, reverse=True)
    assert not is_removed({HostId("h000")}, not_reporting={pair[0], *singles[0]})
    assert is_removed({HostId("h000")}, not_reporting=set(singles[0]))


def test_only_hosts_met_before_and_still_listed_are_unheard() -> None:
    roster = make_roster(3)
    heard = HostContacts(
        last_contact_s=Map({HostId("h000"): 1.0, HostId("h001"): 9.0, HostId("x"): 0.0})
    )
    found = list_silent_peers(heard, roster, silence_s=5.0, now_s=10.0)
    assert found == (HostId("h000"),)
