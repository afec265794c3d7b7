import hashlib
import signal
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from attrs import define, field

from standins.harness import Fleet, FleetPlan, call, find_free_network, wait_until

API_KEY = "the-test-key-of-hauliers"
CALLER_COUNT = 4
REQUEST_INTERVAL_S = 0.01


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    network = find_free_network()
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
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

    addresses: list[str]
    stopping: threading.Event
    errors: list[str] = field(factory=list)
    statuses: list[int] = field(factory=list)

    def run(self) -> None:
        while not self.stopping.is_set():
            answer = self._fetch_addresses()
            self.addresses = [offer["address"] for offer in answer["addresses"]]
            end = threading.Event()
            timer = threading.Timer(answer["lifetime_s"], end.set)
            timer.start()
            while not end.is_set() and not self.stopping.is_set():
                self._send_request(self.addresses[0])
            timer.cancel()

    def _fetch_addresses(self) -> dict[str, list[dict[str, str]]]:
        for address in self.addresses:
            try:
                headers = {"Api-Key": API_KEY}
                return call(address, "GET", "/addresses", headers=headers).json()
            except OSError:
                continue
        raise AssertionError(f"none of {self.addresses} answers")

    def _send_request(self, address: str) -> None:
        try:
            answer = call(address, "GET", "/ledger/x", headers={"Api-Key": API_KEY})
        except OSError as exc:
            self.errors.append(f"{address}: {exc}")
        else:
            self.statuses.append(answer.status)
        self.stopping.wait(REQUEST_INTERVAL_S)


def are_all_hosts_serving(fleet: Fleet) -> bool:
    states = [fleet.fetch_status(index) for index in range(3)]
    return all(
        state["lease"]["kind"] == "LeaseHeld"
        and len(state["roster"]["hosts"]) == 3
        and all(view["status"]["serving"] for view in state["hosts"].values())
        for state in states
    )


def test_rolling_restart_under_traffic_fails_no_request(fleet: Fleet) -> None:
    wait_until(lambda: are_all_hosts_serving(fleet), "every host to serve")
    stopping = threading.Event()
    everyone = [fleet.caller_address(index) for index in range(3)]
    callers = [
        Caller(addresses=list(everyone), stopping=stopping) for _ in range(CALLER_COUNT)
    ]
    threads = [threading.Thread(target=caller.run) for caller in callers]
    for thread in threads:
        thread.start()
    for index in range(3):
        fleet.send_signal(f"proxy-{index}", signal.SIGTERM)
        threading.Event().wait(0.2)
        fleet.send_signal(f"proxy-{index}", signal.SIGTERM)
        assert fleet.wait_for_exit(f"proxy-{index}") == 0
        fleet.start_proxy(index)
        wait_until(lambda: are_all_hosts_serving(fleet), "the restarted host")
    stopping.set()
    for thread in threads:
        thread.join()
    assert [line for caller in callers for line in caller.errors] == []
    statuses = [status for caller in callers for status in caller.statuses]
    assert set(statuses) == {200}
    assert len(statuses) > 100
