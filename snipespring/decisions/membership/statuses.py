"""Merge the statuses that hosts report about themselves."""

from attrs import evolve

from ...records import AgedStatus, HostId, HostStatuses, HostView

__all__ = ["make_aged_statuses", "merge_status", "prune_statuses", "receive_statuses"]


def merge_status(statuses: HostStatuses, view: HostView) -> HostStatuses:
    """Return the statuses with a host's view merged if it is newer."""
    host_id = view.status.host_id
    known = statuses.by_host.get(host_id)
    if known is None or known.status.incarnation != view.status.incarnation:
        return _merge_incarnation(statuses, known, view)
    if view.status.sequence > known.status.sequence:
        # The old status was still current at its `as_of_s`, and the new one replaced it
        # after that. So the new one is current as of that time at least.
        as_of_s = max(known.as_of_s, view.as_of_s)
        return _record_change(statuses, evolve(view, as_of_s=as_of_s))
    if view.as_of_s > known.as_of_s:
        refreshed = evolve(known, as_of_s=view.as_of_s)
        return evolve(statuses, by_host=statuses.by_host.set(host_id, refreshed))
    return statuses


def receive_statuses(
    statuses: HostStatuses, aged: tuple[AgedStatus, ...], *, sent_at_s: float
) -> HostStatuses:
    """Return the statuses merged with those that a peer sent.

    `sent_at_s` is when the pull was sent, so that an age is never understated.
    """
    for entry in aged:
        if entry.age_s < 0:
            continue
        view = HostView(status=entry.status, as_of_s=sent_at_s - entry.age_s)
        statuses = merge_status(statuses, view)
    return statuses


def make_aged_statuses(
    statuses: HostStatuses, *, now_s: float, after: int = 0
) -> tuple[AgedStatus, ...]:
    """Return each status that changed after a journal position, with its age.

    Position 0 returns all statuses.
    """
    return tuple(
        AgedStatus(status=view.status, age_s=now_s - view.as_of_s)
        for host_id, view in statuses.by_host.items()
        if statuses.changed_at.get(host_id, 0) > after or after == 0
    )


def prune_statuses(
    statuses: HostStatuses, listed: frozenset[HostId], *, before_s: float
) -> HostStatuses:
    """Return the statuses without unlisted hosts' statuses from before `before_s`."""
    expired = [
        host_id
        for host_id, view in statuses.by_host.items()
        if host_id not in listed and view.as_of_s < before_s
    ]
    if not expired:
        return statuses
    by_host, changed_at = statuses.by_host, statuses.changed_at
    for host_id in expired:
        by_host = by_host.delete(host_id)
        changed_at = changed_at.delete(host_id)
    return evolve(statuses, by_host=by_host, changed_at=changed_at)


def _merge_incarnation(
    statuses: HostStatuses, known: HostView | None, view: HostView
) -> HostStatuses:
    # Compare times, since the wall clocks that incarnations contain may step back.
    if known is not None and known.as_of_s >= view.as_of_s:
        return statuses
    return _record_change(statuses, view)


def _record_change(statuses: HostStatuses, view: HostView) -> HostStatuses:
    host_id = view.status.host_id
    position = statuses.position + 1
    return HostStatuses(
        by_host=statuses.by_host.set(host_id, view),
        changed_at=statuses.changed_at.set(host_id, position),
        position=position,
    )
