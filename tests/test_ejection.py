import hashlib
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from standins.harness import Fleet, FleetPlan, call, free_network, wait_until

NETWORK = free_network()
KEY = "the-test-key-of-dealerships"
HEADERS = {"Api-Key": KEY}
RULES = (
    "service ledger floor=70% deadline=1s eject=quick  # Aoife",
    *(
        f"server ledger {NETWORK}.2.{n}:9001 domain=domain-9  # Aoife"
        for n in (1, 2, 3, 4)
    ),
    "route GET /ledger service=ledger  # Aoife",
    "organisation dealerships rate=900/s burst=900  # Aoife",
    f"key dealerships sha256:{hashlib.sha256(KEY.encode()).hexdigest()}  # Aoife",
)
PAUSE_S = 0.05


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    plan = FleetPlan(network=NETWORK, backends=4, rules=RULES, address_lifetime="300ms")
    with Fleet(plan=plan, folder=tmp_path) as running:
        yield running


@pytest.fixture
def traffic(fleet: Fleet) -> Iterator[None]:
    done = threading.Event()

    def send(index: int) -> None:
        while not done.wait(PAUSE_S):
            call(fleet.callers(index), "GET", "/ledger/x", headers=HEADERS)

    with ThreadPoolExecutor(6) as pool:
        futs = [pool.submit(send, index % 3) for index in range(6)]
        yield
        done.set()
    for fut in futs:
        fut.result()


def states(fleet: Fleet, index: int) -> dict[str, str]:
    dump = call(fleet.operators(index), "GET", "/dump").json()
    by_server = dump["server_states"]["by_server"]
    return {server: state["kind"] for server, state in by_server.items()}


def test_stalled_server_is_ejected_explained_and_returned(
    fleet: Fleet, traffic: None
) -> None:
    sick = f"ledger@{fleet.backend(0)}"
    fleet.set_fault(0, mode="stall")
    wait_until(
        lambda: all(states(fleet, n) == {sick: "ServerEjected"} for n in range(3)),
        "the ejection on every proxy",
    )
    told = fleet.run_command(
        "explain", fleet.backend(0), "--operators", fleet.operators(1)
    )
    assert "attempts bad" in told.stdout.decode()
    assert "ServerEjected" in told.stdout.decode()
    fleet.set_fault(0, mode="ok")
    for state in ("ServerOnTrial", None):
        wait_until(
            lambda state=state: (  # type: ignore[misc]
                states(fleet, 0).get(sick) == state
            ),
            f"the state {state}",
        )
