"""Define the regions of the feeds that the platform's store publishes."""

from ...records import (
    Configuration,
    Evacuation,
    EvacuationsState,
    EvacuationsUnused,
    FeedView,
    PublishedHost,
    PublishedServer,
    RelayNotice,
    StoreEra,
    StoreReach,
    StoreRelay,
)
from ..region import Region

__all__ = [
    "CONFIGURATION_FEED",
    "EVACUATIONS",
    "EVACUATION_FEED",
    "HOST_FEED",
    "SERVER_FEED",
    "RELAY_NOTICE",
    "STORE_ERA",
    "STORE_REACH",
    "STORE_RELAY",
]

CONFIGURATION_FEED = Region[FeedView[Configuration]](
    name="configuration_feed", writer="configuration_feed", initial=FeedView()
)
SERVER_FEED = Region[FeedView[PublishedServer]](
    name="server_feed", writer="server_feed", initial=FeedView()
)
EVACUATION_FEED = Region[FeedView[Evacuation]](
    name="evacuation_feed", writer="evacuation_feed", initial=FeedView()
)
EVACUATIONS = Region[EvacuationsState](
    name="evacuations", writer="evacuation_feed", initial=EvacuationsUnused()
)
HOST_FEED = Region[FeedView[PublishedHost]](
    name="host_feed", writer="host_feed", initial=FeedView()
)
RELAY_NOTICE = Region[RelayNotice](
    name="relay_notice", writer="domain_link", initial=RelayNotice()
)
STORE_ERA = Region[StoreEra](name="store_era", writer="store_era", initial=StoreEra())
STORE_REACH = Region[StoreReach](
    name="store_reach", writer="store_probe", initial=StoreReach()
)
STORE_RELAY = Region[StoreRelay](
    name="store_relay", writer="domain_link", initial=StoreRelay()
)
