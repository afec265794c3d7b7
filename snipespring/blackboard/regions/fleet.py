"""Define the regions of roster, observed objects, statuses, lease and fence."""

from ...records import (
    Configuration,
    Fence,
    HostContacts,
    HostStatuses,
    HostView,
    LeaseLapsed,
    LeaseState,
    ObservedObject,
    PeerView,
    RefusedConfiguration,
    Roster,
    StoredSegments,
)
from ..region import Region

__all__ = [
    "CONFIGURATION",
    "FENCE",
    "HOST_CONTACTS",
    "STORED_SEGMENTS",
    "HOST_STATUSES",
    "LEASE",
    "OWN_STATUS",
    "PEER_VIEW",
    "PLATFORM_CONFIGURATION",
    "PLATFORM_ROSTER",
    "REFUSED_CONFIGURATION",
    "ROSTER",
]

PLATFORM_CONFIGURATION = Region[ObservedObject | None](
    name="platform_configuration", writer="configuration_watcher", initial=None
)
PLATFORM_ROSTER = Region[ObservedObject | None](
    name="platform_roster", writer="roster_watcher", initial=None
)
PEER_VIEW = Region[PeerView](name="peer_view", writer="puller", initial=PeerView())
OWN_STATUS = Region[HostView | None](
    name="own_status", writer="status_keeper", initial=None
)
HOST_STATUSES = Region[HostStatuses](
    name="host_statuses", writer="puller", initial=HostStatuses()
)
HOST_CONTACTS = Region[HostContacts](
    name="heard_hosts", writer="puller", initial=HostContacts()
)
CONFIGURATION = Region[Configuration](
    name="configuration", writer="configurator", initial=Configuration()
)
STORED_SEGMENTS = Region[StoredSegments](
    name="held_segments", writer="segment_keeper", initial=StoredSegments()
)
REFUSED_CONFIGURATION = Region[RefusedConfiguration](
    name="refused_configuration",
    writer="configurator",
    initial=RefusedConfiguration(),
)
ROSTER = Region[Roster](name="roster", writer="roster_keeper", initial=Roster())
LEASE = Region[LeaseState](
    name="lease",
    writer="lease_keeper",
    initial=LeaseLapsed(reason="no confirmation since the start"),
)
FENCE = Region[Fence](name="fence", writer="fence_keeper", initial=Fence())
