"""List every region of a proxy's blackboard and the controller that writes it."""

from ..records import (
    Configuration,
    Counters,
    Events,
    HostStatus,
    HostStatuses,
    LeaseLapsed,
    LeaseState,
    PeerView,
    Roster,
    ServerLoads,
    Serving,
    Sighting,
    StopState,
)
from .region import Region

__all__ = [
    "CONFIGURATION",
    "COUNTERS",
    "EVENTS",
    "HOST_STATUSES",
    "LEASE",
    "OWN_STATUS",
    "PEER_VIEW",
    "PLATFORM_CONFIGURATION",
    "PLATFORM_ROSTER",
    "ROSTER",
    "SERVER_LOADS",
    "STOP",
]

PLATFORM_CONFIGURATION = Region[Sighting | None](
    name="platform_configuration", writer="configuration_watcher", initial=None
)
PLATFORM_ROSTER = Region[Sighting | None](
    name="platform_roster", writer="roster_watcher", initial=None
)
PEER_VIEW = Region[PeerView](name="peer_view", writer="puller", initial=PeerView())
OWN_STATUS = Region[HostStatus | None](
    name="own_status", writer="status_keeper", initial=None
)
HOST_STATUSES = Region[HostStatuses](
    name="host_statuses", writer="puller", initial=HostStatuses()
)
CONFIGURATION = Region[Configuration](
    name="configuration", writer="configurator", initial=Configuration()
)
ROSTER = Region[Roster](name="roster", writer="roster_keeper", initial=Roster())
LEASE = Region[LeaseState](
    name="lease",
    writer="lease_keeper",
    initial=LeaseLapsed(reason="no confirmation since the start"),
)
SERVER_LOADS = Region[ServerLoads](
    name="server_loads", writer="forwarder", initial=ServerLoads()
)
EVENTS = Region[Events](name="events", writer="historian", initial=Events())
STOP = Region[StopState](name="stop", writer="stopper", initial=Serving())
COUNTERS = Region[Counters](name="counters", writer="accountant", initial=Counters())
