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
TIMEOUTS = SilenceTimeouts(silence_s=5.0, unconfirmed_silence_s=30.0)
FANOUT = 4


def list_removed(
    own_host: Host,
    roster: Roster,
    silent: set[HostId],
    *,
    not_reporting: frozenset[HostId] = frozenset(),
    age_s: float = 10.0,
) -> tuple[HostId, ...]:
    """Return the hosts that `own_host` removes after `age_s` seconds of silence."""
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
        timeouts=TIMEOUTS,
        now_s=NOW_S,
    )


def list_editors(roster: Roster, silent: set[HostId]) -> list[Host]:
    return [
        host
        for host in roster.hosts.values()
        if host.host_id not in silent and list_removed(host, roster, silent)
    ]


def test_exactly_one_host_removes_a_silent_host() -> None:
    roster = make_roster(12)
    for host_id in roster.hosts:
        (editor,) = list_editors(roster, {host_id})
        assert list_removed(editor, roster, {host_id}) == (host_id,)


def test_the_next_ranked_host_edits_when_the_editor_is_silent() -> None:
    roster = make_roster(12)
    first = rank_hosts(roster.hosts.values(), "roster editor")[0]
    (editor,) = list_editors(roster, {first.host_id})
    assert editor != first


def test_a_lost_domain_is_removed_at_once() -> None:
    roster = make_roster(12)
    lost = {host.host_id for host in roster.hosts.values() if host.domain == "d1"}
    (editor,) = list_editors(roster, lost)
    assert set(list_removed(editor, roster, lost)) == lost


def test_a_host_in_contact_with_half_or_less_removes_no_host() -> None:
    roster = make_roster(12)
    silent = set(sorted(roster.hosts)[:6])
    assert list_editors(roster, silent) == []
    assert len(list_editors(roster, set(sorted(roster.hosts)[:5]))) == 1


def test_unconfirmed_silence_leads_to_removal_after_the_longer_timeout() -> None:
    roster = make_roster(12)
    host_id = sorted(roster.hosts)[0]
    all_hosts = frozenset(roster.hosts)
    for host in roster.hosts.values():
        assert list_removed(host, roster, {host_id}, not_reporting=all_hosts) == ()
    removed = [
        list_removed(host, roster, {host_id}, not_reporting=all_hosts, age_s=31.0)
        for host in roster.hosts.values()
        if host.host_id != host_id
    ]
    assert sorted(removed)[-1] == (host_id,)


def is_removed(silent: set[HostId], not_reporting: set[HostId]) -> bool:
    roster = make_roster(12)
    return any(
        HostId("h000")
        in list_removed(host, roster, silent, not_reporting=frozenset(not_reporting))
        for host in roster.hosts.values()
    )


def group_observers() -> dict[str, list[HostId]]:
    roster = make_roster(12)
    by_domain: dict[str, list[HostId]] = {}
    for other in choose_neighbours(roster, roster.hosts[HostId("h000")], FANOUT):
        by_domain.setdefault(other.domain, []).append(other.host_id)
    return by_domain


def test_reports_of_one_domain_do_not_remove_a_host() -> None:
    pair, *singles = sorted(group_observers().values(), key=len, reverse=True)
    assert [len(pair), len(singles)] == [2, 2]
    silent = {HostId("h000"), *singles[0]}
    assert not is_removed(silent, not_reporting=set(singles[1]))
    assert is_removed(silent, not_reporting=set())


def test_reports_of_half_of_the_observers_do_not_remove_a_host() -> None:
    pair, *singles = sorted(group_observers().values(), key=len, reverse=True)
    assert not is_removed({HostId("h000")}, not_reporting={pair[0], *singles[0]})
    assert is_removed({HostId("h000")}, not_reporting=set(singles[0]))


def test_only_listed_hosts_with_earlier_contact_are_silent_peers() -> None:
    roster = make_roster(3)
    contacts = HostContacts(
        last_contact_s=Map({HostId("h000"): 1.0, HostId("h001"): 9.0, HostId("x"): 0.0})
    )
    silent = list_silent_peers(contacts, roster, silence_s=5.0, now_s=10.0)
    assert silent == (HostId("h000"),)
