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
from .status_keeper import (
    StatusKeeper,
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
    "Applier",
    "ClaimHandover",
    "ClaimOwner",
    "Claimant",
    "Configurator",
    "Conflicted",
    "Controller",
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
    "StatusKeeper",
    "TenureKeeper",
    "Unreachable",
    "Watcher",
]
