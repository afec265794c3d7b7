"""Decide from when a host may use the slots that a roster assigns to it."""

from attrs import evolve

from ...records import Fence, Host, Peer, Roster, RosterTransition, ShareHandovers
from .shares import MAX_LOAN_LIFETIME_S

__all__ = [
    "all_shares_in_use_since_s",
    "begin_time_s",
    "follow_fence",
    "follow_roster",
    "has_only_grown",
    "peer_of",
    "record_stop",
]

MAX_TRANSITIONS = 16
FIRST_VERSION = 1


def peer_of(host: Host) -> Peer:
    """Return the identity of the process that a roster entry lists."""
    return Peer(host_id=host.host_id, incarnation=host.incarnation)


def follow_roster(
    transitions: tuple[RosterTransition, ...],
    roster: Roster,
    own_peer: Peer,
    *,
    now_s: float,
) -> tuple[RosterTransition, ...]:
    """Return the transitions with one to a newer roster added.

    After a skipped version the transitions start again from this roster, since
    another host may have held any slot in the version that was skipped.
    """
    known_version = transitions[-1].roster.version if transitions else 0
    if roster.version <= known_version:
        return transitions
    if transitions and roster.version == transitions[-1].roster.version + 1:
        previous_holders = _previous_holders(transitions[-1].roster, roster, own_peer)
        added = RosterTransition(
            roster=roster, adopted_at_s=now_s, previous_holders=previous_holders
        )
        return (*transitions, added)[-MAX_TRANSITIONS:]
    other_peers = _other_peers(roster, own_peer) if has_only_grown(roster) else None
    return (
        RosterTransition(
            roster=roster, adopted_at_s=now_s, previous_holders=other_peers
        ),
    )


def follow_fence(
    transitions: tuple[RosterTransition, ...], fence: Fence, *, now_s: float
) -> tuple[RosterTransition, ...]:
    """Return the transitions with the time at which the fence reached each.

    The fence is the roster version below which no host can still hold a lease.
    """
    if not any(_is_newly_fenced(transition, fence) for transition in transitions):
        return transitions
    return tuple(
        evolve(transition, fenced_at_s=now_s)
        if _is_newly_fenced(transition, fence)
        else transition
        for transition in transitions
    )


def record_stop(
    transitions: tuple[RosterTransition, ...], message: ShareHandovers, *, now_s: float
) -> tuple[RosterTransition, ...]:
    """Return the transitions with the sender's stop recorded.

    A sender that has stopped uses none of the shares that it lost.
    """
    return tuple(
        _record_stop_in_transition(transition, message, now_s)
        for transition in transitions
    )


def begin_time_s(transition: RosterTransition, previous: Peer | None) -> float | None:
    """Return when a slot gained in a transition may be used, None if not yet known.

    This is the earliest time at which one of these holds: the leases of former
    holders and their loans have ended; the former holder has handed the slot over;
    or, if no host ever left the roster, all other hosts have stopped using their lost
    shares. In the first version the slot may be used at once.
    """
    if transition.roster.version <= FIRST_VERSION:
        return transition.adopted_at_s
    times_s = []
    if transition.fenced_at_s is not None:
        times_s.append(transition.fenced_at_s + MAX_LOAN_LIFETIME_S)
    if previous is not None and previous in transition.released:
        times_s.append(transition.released[previous])
    if _all_stopped(transition):
        times_s.append(max(transition.stopped.values()))
    return min(times_s, default=None)


def all_shares_in_use_since_s(
    transitions: tuple[RosterTransition, ...], own_peer: Peer, *, now_s: float
) -> float | None:
    """Return since when every slot of this host in the newest roster is in use.

    None means that the use of some slot has not begun.
    """
    since_s = float("-inf")
    for transition in reversed(transitions):
        if not _contains(transition.roster, own_peer):
            return max(since_s, transition.adopted_at_s)
        all_begun_s = begin_time_s(transition, None)
        if all_begun_s is not None and all_begun_s <= now_s:
            return max(since_s, all_begun_s)
        if (
            transition.previous_holders is None
            or not transition.previous_holders <= set(transition.released)
        ):
            return None
        since_s = max([since_s, *transition.released.values()])
    return None


def has_only_grown(roster: Roster) -> bool:
    """Return whether no host ever left, that is, each version added one host."""
    return len(roster.hosts) == roster.version


def _is_newly_fenced(transition: RosterTransition, fence: Fence) -> bool:
    return transition.fenced_at_s is None and transition.roster.version <= fence.version


def _record_stop_in_transition(
    transition: RosterTransition, message: ShareHandovers, now_s: float
) -> RosterTransition:
    sender = message.sender
    version = transition.roster.version
    if version <= message.roster_version and sender not in transition.stopped:
        stopped_at_s = now_s + max(0.0, message.lent_for_s)
        transition = evolve(
            transition, stopped=transition.stopped.set(sender, stopped_at_s)
        )
    if not message.complete or version != message.last_held_version + 1:
        return transition
    if sender in transition.released:
        return transition
    unused_since_s = now_s - max(0.0, message.unused_for_s)
    return evolve(transition, released=transition.released.set(sender, unused_since_s))


def _all_stopped(transition: RosterTransition) -> bool:
    if not transition.previous_holders or not has_only_grown(transition.roster):
        return False
    return transition.previous_holders <= set(transition.stopped)


def _previous_holders(old: Roster, new: Roster, own_peer: Peer) -> frozenset[Peer]:
    previous_peers = {peer_of(host) for host in old.hosts.values()}
    current_peers = {peer_of(host) for host in new.hosts.values()}
    if _domains(old) != _domains(new) or own_peer not in previous_peers:
        return frozenset(previous_peers - {own_peer})
    return frozenset(previous_peers - current_peers)


def _other_peers(roster: Roster, own_peer: Peer) -> frozenset[Peer]:
    return frozenset(peer_of(host) for host in roster.hosts.values()) - {own_peer}


def _domains(roster: Roster) -> set[str]:
    return {host.domain for host in roster.hosts.values()}


def _contains(roster: Roster, peer: Peer) -> bool:
    host = roster.hosts.get(peer.host_id)
    return host is not None and peer_of(host) == peer
