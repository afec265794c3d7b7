"""List every region of a proxy's blackboard and the controller that writes it."""

from ..records import (
    Configuration,
    Confirmation,
    Events,
    HostStatuses,
    LeaseLapsed,
    LeaseState,
    Roster,
    ServerLoads,
)
from .region import Region

__all__ = [
    "CONFIGURATION",
    "CONFIRMATION",
    "EVENTS",
    "HOST_STATUSES",
    "LEASE",
    "ROSTER",
    "SERVER_LOADS",
]

CONFIGURATION = Region[Configuration](
    name="configuration", writer="configurator", initial=Configuration()
)
CONFIRMATION = Region[Confirmation | None](
    name="confirmation", writer="confirmer", initial=None
)
ROSTER = Region[Roster](name="roster", writer="roster_keeper", initial=Roster())
HOST_STATUSES = Region[HostStatuses](
    name="host_statuses", writer="status_keeper", initial=HostStatuses()
)
LEASE = Region[LeaseState](
    name="lease",
    writer="lease_keeper",
    initial=LeaseLapsed(reason="no confirmation since the start"),
)
SERVER_LOADS = Region[ServerLoads](
    name="server_loads", writer="forwarder", initial=ServerLoads()
)
EVENTS = Region[Events](name="events", writer="historian", initial=Events())
