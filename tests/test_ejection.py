import hashlib
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from standins.harness import Fleet, FleetPlan, call, find_free_network, wait_until

NETWORK = find_free_network()
API_KEY = "the-test-key-of-dealerships"
HEADERS = {"Api-Key": API_KEY}
RULES = (
    "service ledger floor=70% deadline=1s eject=quick  # Aoife",
    *(
        f"server ledger {NETWORK}.2.{n}:9001 domain=domain-9  # Aoife"
        for n in (1, 2, 3, 4)
    ),
    "route GET /ledger service=ledger  # Aoife",
    "organisation dealerships rate=900/s burst=900  # Aoife",
    f"key dealerships sha256:{hashlib.sha256(API_KEY.encode()).hexdigest()}  # Aoife",
)
REQUEST_INTERVAL_S = 0.05


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    plan = FleetPlan(
        network=NETWORK, backend_count=4, rules=RULES, address_lifetime="300ms"
    )
    with Fleet(plan=plan, folder=tmp_path) as running:
        yield running


@pytest.fixture
def traffic(fleet: Fleet) -> Iterator[None]:
    done = threading.Event()

    def send(index: int) -> None:
        while not done.wait(REQUEST_INTERVAL_S):
            call(fleet.caller_address(index), "GET", "/ledger/x", headers=HEADERS)

    with ThreadPoolExecutor(6) as pool:
        futs = [pool.submit(send, index % 3) for index in range(6)]
        yield
        done.set()
    for fut in futs:
        fut.result()


def fetch_server_states(fleet: Fleet, index: int) -> dict[str, Any]:
    dump = call(fleet.operator_address(index), "GET", "/dump").json()
    by_server: dict[str, Any] = dump["server_states"]["by_server"]
    return by_server


def is_ejected(fleet: Fleet, index: int, server: str) -> bool:
    held = fetch_server_states(fleet, index)
    return list(held) == [server] and held[server]["kind"] == "ServerEjected"


def fetch_trial_share(fleet: Fleet, server: str) -> float:
    """Return the share of work on trial, 1 for a server back in service."""
    state = fetch_server_states(fleet, 0).get(server)
    return 1.0 if state is None else float(state.get("share", 0))


def test_stalled_server_is_ejected_explained_and_restored(
    fleet: Fleet, traffic: None
) -> None:
    sick = f"ledger@{fleet.backend_address(0)}"
    fleet.set_backend_fault(0, mode="stall")
    wait_until(
        lambda: all(is_ejected(fleet, index, sick) for index in range(3)),
        "the ejection on every proxy",
    )
    told = fleet.run_command(
        "explain", fleet.backend_address(0), "--operators", fleet.operator_address(1)
    )
    assert "attempts bad" in told.stdout.decode()
    assert "ServerEjected" in told.stdout.decode()
    fleet.set_backend_fault(0, mode="ok")
    for share in (0.02, 0.1, 0.3, 1.0):
        wait_until(
            lambda share=share: fetch_trial_share(fleet, sick) >= share,  # type: ignore[misc]
            f"a share of {share}",
        )
