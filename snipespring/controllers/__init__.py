"""Move state: read regions, call decisions, write the region owned."""

from .accountant import Accountant
from .address_book import AddressBook
from .address_lister import AddressLister
from .admitting import Claims, Limits, NoClaims
from .applier import (
    Accepted,
    Applier,
    Conflicted,
    Damaged,
    NothingHeld,
    RulesHeld,
    Unreachable,
)
from .body_keeper import BodyKeeper
from .canceller import Canceller
from .cataloguer import Cataloguer
from .claim_handover import ClaimHandover
from .claim_owner import ClaimOwner
from .claimant import Claimant
from .configurator import Configurator
from .confirmation_keeper import ConfirmationKeeper
from .dispatcher import Dispatcher, NotPlaced, Placed
from .domain_link import DomainLink
from .feed_keeper import ConfigurationKeeper, Feed, FeedKeeper
from .fence_keeper import FenceKeeper
from .forwarder import Forwarder
from .health_judge import HealthJudge
from .health_keeper import HealthKeeper
from .health_reporter import HealthReporter
from .historian import Historian
from .host_registrar import HostRegistrar
from .lease_keeper import LeaseKeeper
from .limiter import Limiter
from .puller import Puller
from .responder import Responder
from .roster_keeper import RosterKeeper
from .runner import Controller, Runner
from .segment_keeper import SegmentKeeper
from .sender import Delivery, Sender
from .server_judge import ServerJudge
from .settings_keeper import SettingsKeeper
from .share_book import ShareBook
from .share_borrower import ShareBorrower
from .share_mover import ShareMover
from .sightings import see_configuration, see_roster
from .status_keeper import StatusKeeper
from .subset_keeper import SubsetKeeper
from .tenure_keeper import TenureKeeper
from .usage_limiter import UsageLimiter
from .watcher import Watcher

__all__ = [
    "Accepted",
    "Accountant",
    "AddressBook",
    "AddressLister",
    "Applier",
    "BodyKeeper",
    "Canceller",
    "Cataloguer",
    "ClaimHandover",
    "ClaimOwner",
    "Claimant",
    "Claims",
    "ConfigurationKeeper",
    "Configurator",
    "ConfirmationKeeper",
    "Conflicted",
    "Controller",
    "Damaged",
    "Delivery",
    "Dispatcher",
    "Feed",
    "FeedKeeper",
    "FenceKeeper",
    "Forwarder",
    "HealthJudge",
    "HealthKeeper",
    "HealthReporter",
    "Historian",
    "HostRegistrar",
    "LeaseKeeper",
    "Limiter",
    "Limits",
    "NoClaims",
    "NotPlaced",
    "NothingHeld",
    "Placed",
    "Puller",
    "Responder",
    "RosterKeeper",
    "RulesHeld",
    "Runner",
    "SegmentKeeper",
    "Sender",
    "ServerJudge",
    "SettingsKeeper",
    "ShareBook",
    "ShareBorrower",
    "ShareMover",
    "StatusKeeper",
    "SubsetKeeper",
    "TenureKeeper",
    "Unreachable",
    "UsageLimiter",
    "Watcher",
    "DomainLink",
    "see_configuration",
    "see_roster",
]
