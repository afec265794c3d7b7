"""Move state: read regions, call decisions, write the region owned."""

from .accountant import (
    Accountant,
)
from .applier import (
    Accepted,
    Applier,
    Conflicted,
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
from .claimant import (
    Claimant,
)
from .configurator import (
    Configurator,
)
from .dispatcher import (
    Dispatcher,
)
from .fence_keeper import (
    FenceKeeper,
)
from .forwarder import (
    Forwarder,
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
from .sender import (
    Sender,
)
from .status_keeper import (
    StatusKeeper,
)
from .subset_keeper import (
    SubsetKeeper,
)
from .watcher import (
    Watcher,
)

__all__ = [
    "Accepted",
    "Accountant",
    "Applier",
    "BodyKeeper",
    "Canceller",
    "Claimant",
    "Configurator",
    "Conflicted",
    "Controller",
    "Dispatcher",
    "FenceKeeper",
    "Forwarder",
    "Historian",
    "LeaseKeeper",
    "Limiter",
    "NothingHeld",
    "Puller",
    "Responder",
    "RosterKeeper",
    "RulesHeld",
    "Runner",
    "Sender",
    "StatusKeeper",
    "SubsetKeeper",
    "Unreachable",
    "Watcher",
]
