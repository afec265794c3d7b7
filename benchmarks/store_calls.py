"""Count the calls of a fleet to the store at a start, in calm and around outages."""

import sys

from snipespring.controllers.tests.store_fleet import StoreFleet

__all__ = ["main"]

HOSTS_PER_DOMAIN = 62
SERVERS = 113
START_S = 15.0
CALM_S = 600.0
OUTAGE_S = 10.0
AFTER_S = 10.0
STEP_S = 0.1


def main() -> int:
    """Print the calls by purpose, a stale one as a tenth, and when all hosts serve."""
    for is_first_start in (True, False):
        fleet = StoreFleet(
            hosts_per_domain=HOSTS_PER_DOMAIN,
            servers=SERVERS,
            is_first_start=is_first_start,
        )
        name = "first start" if is_first_start else "restart of all"
        _report(fleet, f"{name}, {START_S:g} s", START_S)
    _report(fleet, f"calm, {CALM_S:g} s", CALM_S)
    host_ids = [host.host_id for host in fleet.hosts()]
    for name, cut in (("all", host_ids), ("a third of the", host_ids[::3])):
        fleet.cut = set(cut)
        _report(fleet, f"outage of {OUTAGE_S:g} s for {name} hosts", OUTAGE_S)
        fleet.cut = set()
        _report(fleet, f"{AFTER_S:g} s after it", AFTER_S)
    return 0


def _report(fleet: StoreFleet, name: str, duration_s: float) -> None:
    fleet.calls_at.clear()
    hosts, serving_after_s = len(fleet.boards), None
    fewest = hosts
    for step in range(round(duration_s / STEP_S)):
        fleet.run(STEP_S)
        serving = fleet.serving()
        fewest = min(fewest, serving)
        if serving == hosts and serving_after_s is None:
            serving_after_s = round((step + 1) * STEP_S, 1)
    costs = fleet.take_costs()
    peak = max(fleet.calls_at.values(), default=0)
    print(f"{name}: {round(sum(costs.values()), 1)} {costs}")
    print(
        f"  of {hosts} hosts all serve after {serving_after_s} s,"
        f" never fewer than {fewest}; at most {peak} calls in 0.1 s"
    )


if __name__ == "__main__":
    sys.exit(main())
