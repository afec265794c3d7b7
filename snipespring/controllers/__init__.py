"""Move state: read regions, call decisions, write the region owned."""

from .accountant import (
    Accountant,
)
from .address_lister import (
    AddressLister,
)
from .applier import (
    Accepted,
    Applier,
    Conflicted,
    Damaged,
    NothingHeld,
    RulesHeld,
    Unreachable,
)
from .body_keeper import (
    BodyKeeper,
)
from .canceller import (
    Canceller,
)
from .claim_handover import (
    ClaimHandover,
)
from .claim_owner import (
    ClaimOwner,
)
from .claimant import (
    Claimant,
)
from .configurator import (
    Configurator,
)
from .dispatcher import (
    Dispatcher,
    NotPlaced,
    Placed,
)
from .fence_keeper import (
    FenceKeeper,
)
from .forwarder import (
    Forwarder,
)
from .health_judge import (
    HealthJudge,
)
from .health_keeper import (
    HealthKeeper,
)
from .health_reporter import (
    HealthReporter,
)
from .historian import (
    Historian,
)
from .lease_keeper import (
    LeaseKeeper,
)
from .limiter import (
    Limiter,
)
from .puller import (
    Puller,
)
from .responder import (
    Responder,
)
from .roster_keeper import (
    RosterKeeper,
)
from .runner import (
    Controller,
    Runner,
)
from .segment_keeper import (
    SegmentKeeper,
)
from .sender import (
    Delivery,
    Sender,
)
from .share_book import (
    ShareBook,
)
from .share_borrower import (
    ShareBorrower,
)
from .share_mover import (
    ShareMover,
)
from .sightings import (
    see_configuration,
    see_roster,
)
from .status_keeper import (
    StatusKeeper,
)
from .subset_keeper import (
    SubsetKeeper,
)
from .tenure_keeper import (
    TenureKeeper,
)
from .watcher import (
    Watcher,
)

__all__ = [
    "Accepted",
    "Accountant",
    "AddressLister",
    "Applier",
    "BodyKeeper",
    "Canceller",
    "ClaimHandover",
    "ClaimOwner",
    "Claimant",
    "Configurator",
    "Conflicted",
    "Controller",
    "Damaged",
    "Delivery",
    "Dispatcher",
    "FenceKeeper",
    "Forwarder",
    "HealthJudge",
    "HealthKeeper",
    "HealthReporter",
    "Historian",
    "LeaseKeeper",
    "Limiter",
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
    "ShareBook",
    "ShareBorrower",
    "ShareMover",
    "StatusKeeper",
    "SubsetKeeper",
    "TenureKeeper",
    "Unreachable",
    "Watcher",
    "see_configuration",
    "see_roster",
]
