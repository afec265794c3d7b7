import hashlib
import signal
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from attrs import define, field

from standins.harness import Fleet, FleetPlan, call, free_network, wait_until

KEY = "the-test-key-of-hauliers"
CALLERS = 4
BETWEEN_S = 0.01


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    network = free_network()
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    rules = (
        "service ledger floor=60% deadline=2s  # Nora",
        *(f"server ledger {network}.2.{n}:9001 domain=d{n}  # Nora" for n in (1, 2, 3)),
        "route GET /ledger service=ledger  # Nora",
        "organisation hauliers rate=2000/s burst=2000  # Nora",
        f"key hauliers sha256:{digest}  # Nora",
    )
    plan = FleetPlan(
        network=network,
        rules=rules,
        address_lifetime="500ms",
        proxy_options={"peers": {"pull_interval": "200ms"}},
    )
    with Fleet(plan=plan, folder=tmp_path) as running:
        yield running


@define(kw_only=True, eq=False)
class Caller:
    """Send requests to the first host of an address answer, kept for its lifetime."""

    known: list[str]
    stopping: threading.Event
    cut: list[str] = field(factory=list)
    statuses: list[int] = field(factory=list)

    def run(self) -> None:
        while not self.stopping.is_set():
            answer = self._ask()
            self.known = [offer["address"] for offer in answer["addresses"]]
            end = threading.Event()
            timer = threading.Timer(answer["lifetime_s"], end.set)
            timer.start()
            while not end.is_set() and not self.stopping.is_set():
                self._send(self.known[0])
            timer.cancel()

    def _ask(self) -> dict[str, list[dict[str, str]]]:
        for address in self.known:
            try:
                headers = {"Api-Key": KEY}
                return call(address, "GET", "/addresses", headers=headers).json()
            except OSError:
                continue
        raise AssertionError(f"none of {self.known} answers")

    def _send(self, address: str) -> None:
        try:
            answer = call(address, "GET", "/ledger/x", headers={"Api-Key": KEY})
        except OSError as exc:
            self.cut.append(f"{address}: {exc}")
        else:
            self.statuses.append(answer.status)
        self.stopping.wait(BETWEEN_S)


def is_whole(fleet: Fleet) -> bool:
    states = [fleet.status(index) for index in range(3)]
    return all(
        state["lease"]["kind"] == "LeaseHeld"
        and len(state["roster"]["hosts"]) == 3
        and all(view["status"]["serving"] for view in state["hosts"].values())
        for state in states
    )


def test_rolling_restart_under_traffic_cuts_no_request(fleet: Fleet) -> None:
    wait_until(lambda: is_whole(fleet), "every host to serve")
    stopping = threading.Event()
    everyone = [fleet.callers(index) for index in range(3)]
    callers = [Caller(known=list(everyone), stopping=stopping) for _ in range(CALLERS)]
    threads = [threading.Thread(target=caller.run) for caller in callers]
    for thread in threads:
        thread.start()
    for index in range(3):
        fleet.signal(f"proxy-{index}", signal.SIGTERM)
        threading.Event().wait(0.2)
        fleet.signal(f"proxy-{index}", signal.SIGTERM)
        assert fleet.wait_exit(f"proxy-{index}") == 0
        fleet.start_proxy(index)
        wait_until(lambda: is_whole(fleet), "the restarted host")
    stopping.set()
    for thread in threads:
        thread.join()
    assert [line for caller in callers for line in caller.cut] == []
    statuses = [status for caller in callers for status in caller.statuses]
    assert set(statuses) == {200}
    assert len(statuses) > 100
