import hashlib
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.harness import Fleet, FleetPlan, call, find_free_network, wait_until

API_KEY = "the-test-key-of-dispatchers"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    network = find_free_network()
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    rules = (
        "service ledger floor=60% deadline=2s  # Nora",
        *(f"server ledger {network}.2.{n}:9001 domain=d{n}  # Nora" for n in (1, 2, 3)),
        "route GET /ledger service=ledger  # Nora",
        "route GET /open service=ledger access=open  # Nora",
        "organisation dispatchers rate=2000/s burst=2000  # Nora",
        f"key dispatchers sha256:{digest}  # Nora",
    )
    plan = FleetPlan(network=network, rules=rules)
    folder: Path = tmp_path_factory.mktemp("fleet")
    with Fleet(plan=plan, folder=folder) as running:
        yield running


def fetch_status_code(fleet: Fleet, path: str) -> int:
    return call(
        fleet.caller_address(0), "GET", path, headers={"Api-Key": API_KEY}
    ).status


def test_an_isolated_host_serves_only_open_routes(fleet: Fleet) -> None:
    wait_until(lambda: fetch_status_code(fleet, "/ledger/x") == 200, "the key")
    fleet.set_platform_fault(mode="away")
    for index in (1, 2):
        fleet.send_signal(f"proxy-{index}", signal.SIGSTOP)
    wait_until(
        lambda: fetch_status_code(fleet, "/ledger/x") == 503, "the lease to lapse"
    )
    refused = call(
        fleet.caller_address(0), "GET", "/ledger/x", headers={"Api-Key": API_KEY}
    )
    assert refused.headers["snipespring-outcome"] == "not-run"
    assert fetch_status_code(fleet, "/open") == 200
    for index in (1, 2):
        fleet.send_signal(f"proxy-{index}", signal.SIGCONT)
    wait_until(
        lambda: fetch_status_code(fleet, "/ledger/x") == 200, "the lease by attestation"
    )
    fleet.set_platform_fault(mode="up")


def test_a_killed_host_leaves_the_roster_and_rejoins(fleet: Fleet) -> None:
    wait_until(
        lambda: len(fleet.fetch_status(0)["roster"]["hosts"]) == 3, "the whole fleet"
    )
    fleet.send_signal("proxy-2", signal.SIGKILL)
    fleet.wait_for_exit("proxy-2")
    wait_until(
        lambda: len(fleet.fetch_status(0)["roster"]["hosts"]) == 2, "the removal"
    )
    assert fetch_status_code(fleet, "/ledger/x") == 200
    fleet.start_proxy(2)
    wait_until(lambda: len(fleet.fetch_status(2)["roster"]["hosts"]) == 3, "the rejoin")
    wait_until(
        lambda: fleet.fetch_status(2)["lease"]["kind"] == "LeaseHeld", "the lease"
    )


def test_a_restarted_host_recovers_from_seeds_without_the_platform(
    fleet: Fleet,
) -> None:
    before = fleet.fetch_status(0)["configuration"]
    fleet.set_platform_fault(mode="away")
    fleet.send_signal("proxy-1", signal.SIGKILL)
    fleet.wait_for_exit("proxy-1")
    seeds = [f"{fleet.plan.network}.1.{n}:7400" for n in (1, 3)]
    fleet.plan.proxy_options["peers"] = {"seeds": seeds}
    fleet.start_proxy(1)
    wait_until(lambda: fleet.fetch_status(1)["configuration"] == before, "the rules")
    wait_until(
        lambda: fleet.fetch_status(1)["lease"]["kind"] == "LeaseHeld", "the lease"
    )
    answer = call(
        fleet.caller_address(1), "GET", "/ledger/x", headers={"Api-Key": API_KEY}
    )
    assert answer.status == 200
    fleet.set_platform_fault(mode="up")
