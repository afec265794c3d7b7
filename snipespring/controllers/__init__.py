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
from .configurator import (
    Configurator,
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
from .puller import (
    Puller,
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
from .watcher import (
    Watcher,
)

__all__ = [
    "Accepted",
    "Accountant",
    "Applier",
    "Configurator",
    "Conflicted",
    "Controller",
    "Forwarder",
    "Historian",
    "LeaseKeeper",
    "NothingHeld",
    "Puller",
    "RosterKeeper",
    "RulesHeld",
    "Runner",
    "StatusKeeper",
    "Unreachable",
    "Watcher",
]
