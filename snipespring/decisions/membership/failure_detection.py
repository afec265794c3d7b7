"""Decide which hosts have failed and which host removes them from the roster."""

from collections.abc import Iterable, Iterator

from attrs import frozen

from ...records import Host, HostContacts, HostId, HostStatuses, Roster
from .neighbours import choose_neighbours
from .placement import rank_hosts

__all__ = ["SilenceTimeouts", "list_hosts_to_remove", "list_silent_peers"]

EDITOR_ROLE = "roster editor"


@frozen(kw_only=True)
class SilenceTimeouts:
    """Set how long a host may be silent, in seconds.

    After `silence_s` a host is removed if its observers confirm the silence,
    after `unconfirmed_silence_s` in any case.
    """

    silence_s: float = 5.0
    unconfirmed_silence_s: float = 30.0


def list_silent_peers(
    contacts: HostContacts, roster: Roster, *, silence_s: float, now_s: float
) -> tuple[HostId, ...]:
    """Return the roster's hosts not heard from for over `silence_s`, sorted by id."""
    return tuple(
        sorted(
            host_id
            for host_id, contact_s in contacts.last_contact_s.items()
            if host_id in roster.hosts and now_s - contact_s > silence_s
        )
    )


def list_hosts_to_remove(
    *,
    own_host: Host,
    roster: Roster,
    statuses: HostStatuses,
    contacts: HostContacts,
    fanout: int,
    timeouts: SilenceTimeouts,
    now_s: float,
) -> tuple[HostId, ...]:
    """Return the hosts that this host should remove from the roster now.

    Only the roster's editor removes hosts, and only while it has recent statuses of
    more than half of the roster: an isolated host must not declare the others dead.
    """
    known_s = {
        host.host_id: _last_known_s(host, statuses, contacts)
        for host in roster.hosts.values()
    }
    live = {
        host_id
        for host_id, time_s in known_s.items()
        if now_s - time_s <= timeouts.silence_s or host_id == own_host.host_id
    }
    if len(live) * 2 <= len(roster.hosts) or _find_editor(roster, live) != own_host:
        return ()
    return tuple(
        host.host_id
        for host in roster.hosts.values()
        if host.host_id not in live
        and (
            now_s - known_s[host.host_id] > timeouts.unconfirmed_silence_s
            or _is_confirmed(host, roster, statuses, live, fanout)
        )
    )


def _last_known_s(host: Host, statuses: HostStatuses, contacts: HostContacts) -> float:
    listed_s = contacts.first_listed_s.get(host.host_id, float("inf"))
    view = statuses.by_host.get(host.host_id)
    if view is None or view.status.incarnation != host.incarnation:
        return listed_s
    return max(listed_s, view.as_of_s)


def _find_editor(roster: Roster, live: set[HostId]) -> Host | None:
    ranked = rank_hosts(roster.hosts.values(), EDITOR_ROLE)
    return next((host for host in ranked if host.host_id in live), None)


def _is_confirmed(
    host: Host, roster: Roster, statuses: HostStatuses, live: set[HostId], fanout: int
) -> bool:
    neighbours = choose_neighbours(roster, host, fanout)
    observers = [other for other in neighbours if other.host_id in live]
    reporting = list(_list_reporting(host, observers, statuses))
    required_domains = min(2, len({other.domain for other in observers}))
    if len({other.domain for other in reporting}) < required_domains:
        return False
    return len(reporting) * 2 > len(observers)


def _list_reporting(
    host: Host, observers: Iterable[Host], statuses: HostStatuses
) -> Iterator[Host]:
    for observer in observers:
        view = statuses.by_host.get(observer.host_id)
        if view is not None and host.host_id in view.status.unheard:
            yield observer
