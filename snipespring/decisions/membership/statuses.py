"""Merge the statuses that hosts report of themselves."""

from attrs import evolve

from ...records import AgedStatus, HostId, HostStatuses, HostView

__all__ = ["age_statuses", "forget_statuses", "merge_status", "receive_statuses"]


def merge_status(statuses: HostStatuses, view: HostView) -> HostStatuses:
    """Return the statuses with a view taken in if it is newer than the one held."""
    host_id = view.status.host_id
    held = statuses.by_host.get(host_id)
    if held is not None and not _is_newer(view, held):
        return statuses
    return evolve(statuses, by_host=statuses.by_host.set(host_id, view))


def receive_statuses(
    statuses: HostStatuses, aged: tuple[AgedStatus, ...], *, sent_at_s: float
) -> HostStatuses:
    """Return the statuses with a peer's taken in, ages counted from the pull."""
    for entry in aged:
        if entry.age_s < 0:
            continue
        view = HostView(status=entry.status, as_of_s=sent_at_s - entry.age_s)
        statuses = merge_status(statuses, view)
    return statuses


def age_statuses(statuses: HostStatuses, *, now_s: float) -> tuple[AgedStatus, ...]:
    """Return every status with its age."""
    return tuple(
        AgedStatus(status=view.status, age_s=now_s - view.as_of_s)
        for view in statuses.by_host.values()
    )


def forget_statuses(
    statuses: HostStatuses, kept: frozenset[HostId], *, before_s: float
) -> HostStatuses:
    """Return the statuses without old ones of hosts that are not kept."""
    by_host = statuses.by_host
    for host_id, view in statuses.by_host.items():
        if host_id not in kept and view.as_of_s < before_s:
            by_host = by_host.delete(host_id)
    if by_host is statuses.by_host:
        return statuses
    return evolve(statuses, by_host=by_host)


def _is_newer(view: HostView, held: HostView) -> bool:
    if view.status.incarnation == held.status.incarnation:
        return view.status.sequence > held.status.sequence
    # The time decides, as wall clocks in incarnations may step back.
    return view.as_of_s > held.as_of_s
