"""Change the roster and its history of versions under which leases may exist."""

from collections.abc import Iterator

from attrs import evolve
from immutables import Map

from ...records import Host, HostId, Incarnation, Roster, RosterChange

__all__ = [
    "base_version",
    "change_roster",
    "compact_roster",
    "list_ended_incarnations",
    "list_rosters",
    "restore_roster",
]


def base_version(roster: Roster) -> int:
    """Return the newest version that is fenced according to the roster.

    All leases under versions before a fenced one have ended.
    """
    return roster.changes[0].before if roster.changes else roster.version


def list_rosters(roster: Roster) -> Iterator[tuple[int, Map[HostId, Host]]]:
    """Yield the versions from the base to the latest, each with its hosts."""
    hosts = roster.base_hosts
    for change in roster.changes:
        yield change.before, hosts
        hosts = _apply_change(hosts, change)
    yield roster.version, roster.hosts


def restore_roster(
    base_hosts: Map[HostId, Host], changes: tuple[RosterChange, ...], *, version: int
) -> Roster:
    """Return the roster that results from the changes."""
    hosts = base_hosts
    for change in changes:
        hosts = _apply_change(hosts, change)
    return Roster(version=version, hosts=hosts, base_hosts=base_hosts, changes=changes)


def change_roster(
    roster: Roster,
    *,
    joined: tuple[Host, ...] = (),
    removed: tuple[HostId, ...] = (),
    left: tuple[HostId, ...] = (),
) -> Roster:
    """Return the roster with one more change, to be written over this version."""
    base_hosts = roster.base_hosts if roster.changes else roster.hosts
    change = RosterChange(
        before=roster.version, joined=joined, removed=removed, left=left
    )
    changes = (*roster.changes, change)
    return restore_roster(base_hosts, changes, version=roster.version)


def compact_roster(roster: Roster, *, fenced: int) -> Roster:
    """Return the roster without the history before the newest fenced version."""
    hosts = roster.base_hosts
    changes = roster.changes
    while len(changes) > 1 and changes[1].before <= fenced:
        hosts = _apply_change(hosts, changes[0])
        changes = changes[1:]
    if changes and roster.version <= fenced:
        return evolve(roster, base_hosts=Map(), changes=())
    return evolve(roster, base_hosts=hosts, changes=changes)


def list_ended_incarnations(roster: Roster) -> frozenset[tuple[HostId, Incarnation]]:
    """Return the incarnations whose processes have certainly ended.

    A later incarnation at the same peer address has taken over its predecessor's
    listener, and a host finishes its work before it reports that it leaves.
    """
    hosts = dict(roster.base_hosts)
    ended: set[tuple[HostId, Incarnation]] = set()
    for change in roster.changes:
        for host_id in change.left:
            if host_id in hosts:
                ended.add((host_id, hosts[host_id].incarnation))
        for host in change.joined:
            previous = hosts.get(host.host_id)
            if previous is not None and _replaces(host, previous):
                ended.add((previous.host_id, previous.incarnation))
            hosts[host.host_id] = host
    return frozenset(ended)


def _replaces(host: Host, previous: Host) -> bool:
    return host.peers == previous.peers and host.incarnation != previous.incarnation


def _apply_change(hosts: Map[HostId, Host], change: RosterChange) -> Map[HostId, Host]:
    changed = hosts.mutate()
    for host_id in (*change.removed, *change.left):
        changed.pop(host_id, None)
    for host in change.joined:
        changed[host.host_id] = host
    return changed.finish()
