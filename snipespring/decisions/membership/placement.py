"""Assign roles to hosts by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from ...records import Host, Roster

__all__ = ["find_role_holder", "rank_hosts"]


def rank_hosts(hosts: Iterable[Host], key: str) -> list[Host]:
    """Return the hosts in the order of their hash weights for a key."""

    def weight(host: Host) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{host.host_id}".encode())

    return sorted(hosts, key=weight, reverse=True)


def find_role_holder(roster: Roster, role: str) -> Host | None:
    """Return the host that holds a role, or None for an empty roster."""
    ranked = rank_hosts(roster.hosts.values(), role)
    return ranked[0] if ranked else None
