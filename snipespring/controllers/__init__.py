"""Move state: read regions, call decisions, write the region owned."""

from .accountant import Accountant
from .address_book import AddressBook
from .address_lister import AddressLister
from .admission import AdmissionControl, ClaimControl, NoClaimControl
from .applier import (
    Accepted,
    Applier,
    Conflicted,
    Damaged,
    NothingHeld,
    RulesHeld,
    Unreachable,
)
from .body_memory_limiter import BodyMemoryLimiter
from .canceller import Canceller
from .cataloguer import Cataloguer
from .claim_handover_sender import ClaimHandoverSender
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
from .share_borrower import ShareBorrower
from .share_handover_sender import ShareHandoverSender
from .share_manager import ShareManager
from .sightings import see_configuration, see_roster
from .status_keeper import StatusKeeper
from .subset_selector import SubsetSelector
from .tenure_keeper import TenureKeeper
from .usage_limiter import UsageLimiter
from .watcher import Watcher

__all__ = [
    "Accepted",
    "Accountant",
    "AddressBook",
    "AddressLister",
    "Applier",
    "BodyMemoryLimiter",
    "Canceller",
    "Cataloguer",
    "ClaimHandoverSender",
    "ClaimOwner",
    "Claimant",
    "ClaimControl",
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
    "AdmissionControl",
    "NoClaimControl",
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
    "ShareManager",
    "ShareBorrower",
    "ShareHandoverSender",
    "StatusKeeper",
    "SubsetSelector",
    "TenureKeeper",
    "Unreachable",
    "UsageLimiter",
    "Watcher",
    "DomainLink",
    "see_configuration",
    "see_roster",
]
