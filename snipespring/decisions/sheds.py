"""Tell sheds of gray servers from sheds of a whole service.

Answers load: servers that refuse requests although their reported load leaves slots
free. One such server is gray. When many servers of a service do it, the service refuses
and no server is at fault.
"""

from collections.abc import Collection

from immutables import Map

from ..records import (
    AnswerLog,
    BackendResult,
    ServerId,
    ServerNotices,
    ShedByServer,
)

__all__ = ["blames_server", "is_shed_with_free_slots", "record_shed", "sheds_as_whole"]

SHED_WINDOW_S = 3.0
# More than the share of gray servers that the platform names; beyond it the whole
# service sheds.
MAX_SHEDDING_SHARE = 0.25
# A single shed is no evidence: when a whole service begins to shed, the first sheds
# come from few servers.
MIN_SHEDS = 2
NO_NOTICES = ServerNotices()


def is_shed_with_free_slots(result: BackendResult) -> bool:
    """Return whether a server refused a request though it reports free slots.

    Servers that drain, pause or name a limit refuse for a stated reason.
    """
    match result:
        case ShedByServer(is_replaced=False, load=load, notices=notices) if load:
            return (
                load.busy < load.slots and not load.draining and notices == NO_NOTICES
            )
        case _:
            return False


def record_shed(log: AnswerLog, server: ServerId, *, now_s: float) -> AnswerLog:
    """Return the log with one more shed and without those outside the window."""
    recent = {
        instance: kept
        for instance, times in log.by_instance.items()
        if (kept := tuple(at_s for at_s in times if now_s - at_s <= SHED_WINDOW_S))
    }
    recent[server.instance] = (*recent.get(server.instance, ()), now_s)
    return AnswerLog(by_instance=Map(recent))


def blames_server(
    log: AnswerLog, server: ServerId, servers: Collection[ServerId], *, now_s: float
) -> bool:
    """Return whether the recent sheds on all hosts are evidence against the server."""
    own = log.by_instance.get(server.instance, ())
    recent = sum(now_s - at_s <= SHED_WINDOW_S for at_s in own)
    return recent >= MIN_SHEDS and not sheds_as_whole(log, servers, now_s=now_s)


def sheds_as_whole(
    log: AnswerLog, servers: Collection[ServerId], *, now_s: float
) -> bool:
    """Return whether many or all of a service's servers shed with free slots lately."""
    shedding = sum(
        any(now_s - at_s <= SHED_WINDOW_S for at_s in times)
        for server in servers
        if (times := log.by_instance.get(server.instance))
    )
    is_many = shedding > max(1.0, MAX_SHEDDING_SHARE * len(servers))
    return is_many or 0 < len(servers) == shedding
