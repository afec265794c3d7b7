"""Decide which hosts have gone silent and who removes them."""

from collections.abc import Iterable, Iterator

from attrs import frozen

from ...records import Host, HostContacts, HostId, HostStatuses, Roster
from .neighbours import choose_neighbours
from .placement import rank_hosts

__all__ = ["SilenceLimits", "list_silent_hosts", "list_unheard_hosts"]

EDITOR_ROLE = "roster editor"


@frozen(kw_only=True)
class SilenceLimits:
    """Bound silence in seconds.

    After `silence_s` a host is removed if its observers agree, after `lost_s`
    in any case.
    """

    silence_s: float = 5.0
    lost_s: float = 30.0


def list_unheard_hosts(
    heard: HostContacts, roster: Roster, *, silence_s: float, now_s: float
) -> tuple[HostId, ...]:
    """Return the hosts that sent messages to this one and stopped, in order."""
    return tuple(
        sorted(
            host_id
            for host_id, at_s in heard.last_contact_s.items()
            if host_id in roster.hosts and now_s - at_s > silence_s
        )
    )


def list_silent_hosts(
    *,
    own: Host,
    roster: Roster,
    statuses: HostStatuses,
    heard: HostContacts,
    fanout: int,
    limits: SilenceLimits,
    now_s: float,
) -> tuple[HostId, ...]:
    """Return the hosts that this host should remove from the roster now.

    Only the roster's editor removes, and only while it hears more than half of
    the roster: a host that is cut off must not take the others for dead.
    """
    times_s = {
        host.host_id: _last_known_s(host, statuses, heard)
        for host in roster.hosts.values()
    }
    fresh = {
        host_id
        for host_id, time_s in times_s.items()
        if now_s - time_s <= limits.silence_s or host_id == own.host_id
    }
    if len(fresh) * 2 <= len(roster.hosts) or _find_editor(roster, fresh) != own:
        return ()
    return tuple(
        host.host_id
        for host in roster.hosts.values()
        if host.host_id not in fresh
        and (
            now_s - times_s[host.host_id] > limits.lost_s
            or _is_agreed(host, roster, statuses, fresh, fanout)
        )
    )


def _last_known_s(host: Host, statuses: HostStatuses, heard: HostContacts) -> float:
    listed_s = heard.first_listed_s.get(host.host_id, float("inf"))
    view = statuses.by_host.get(host.host_id)
    if view is None or view.status.incarnation != host.incarnation:
        return listed_s
    return max(listed_s, view.as_of_s)


def _find_editor(roster: Roster, fresh: set[HostId]) -> Host | None:
    ranked = rank_hosts(roster.hosts.values(), EDITOR_ROLE)
    return next((host for host in ranked if host.host_id in fresh), None)


def _is_agreed(
    host: Host, roster: Roster, statuses: HostStatuses, fresh: set[HostId], fanout: int
) -> bool:
    neighbours = choose_neighbours(roster, host, fanout)
    observers = [other for other in neighbours if other.host_id in fresh]
    reporting = list(_list_reporting(host, observers, statuses))
    domains = min(2, len({other.domain for other in observers}))
    if len({other.domain for other in reporting}) < domains:
        return False
    return len(reporting) * 2 > len(observers)


def _list_reporting(
    host: Host, observers: Iterable[Host], statuses: HostStatuses
) -> Iterator[Host]:
    for observer in observers:
        view = statuses.by_host.get(observer.host_id)
        if view is not None and host.host_id in view.status.unheard:
            yield observer
