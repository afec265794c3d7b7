"""Count the calls that a fleet makes to the platform at rest and at its start."""

import sys
import tempfile
import threading
from pathlib import Path
from typing import Any

from standins.harness import Fleet, FleetPlan, call, find_free_network

__all__ = ["main"]

HOSTS = 12
MEASUREMENT_S = 10.0


def main() -> int:
    """Print calls of the start and calls a second at rest."""
    network = find_free_network()
    rules = (
        "service ledger floor=60%  # Nora",
        f"server ledger {network}.2.1:9001 domain=d1  # Nora",
        "route GET /ledger service=ledger  # Nora",
    )
    plan = FleetPlan(network=network, rules=rules, proxy_count=HOSTS, backend_count=1)
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(plan=plan, folder=Path(folder)) as fleet,
    ):
        started = _fetch_counts(fleet)
        threading.Event().wait(MEASUREMENT_S)
        ended = _fetch_counts(fleet)
    print(f"{HOSTS} hosts in 3 domains, calls until all held a lease: {started}")
    rates = {kind: (ended[kind] - started[kind]) / MEASUREMENT_S for kind in ended}
    print(f"calls a second over the {MEASUREMENT_S:g} s after: {rates}")
    return 0


def _fetch_counts(fleet: Fleet) -> dict[str, int]:
    counts: dict[str, Any] = call(
        fleet.platform_address, "GET", "/control/counts"
    ).json()
    return {kind: int(count) for kind, count in counts.items()}


if __name__ == "__main__":
    sys.exit(main())
