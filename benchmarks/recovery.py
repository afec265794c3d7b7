"""Measure how a fleet of three processes recovers from one fault at a time."""

import hashlib
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from attrs import define, field, frozen

from standins.harness import Fleet, FleetPlan, call, find_free_network

__all__ = ["main"]

API_KEY = "the-test-key-of-hauliers"
CALLER_COUNT = 6
SEND_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 4.0
CHECK_INTERVAL_S = 0.05
RECOVERY_TIMEOUT_S = 60.0
FREEZE_S = 6.0
OUTAGE_S = 20.0
WARM_UP_S = 2.0


@frozen(kw_only=True)
class Row:
    """Hold one fault and what was measured after it."""

    fault: str
    measurements: tuple[str, ...]
    outcomes: str


@define(kw_only=True, eq=False)
class Caller:
    """Send requests to the hosts of an address answer, the next after an error."""

    addresses: list[str]
    stopping: threading.Event
    outcomes: Counter[str] = field(factory=Counter)
    last_query_at_s: float = 0.0

    def run(self) -> None:
        """Send until told to stop."""
        while not self.stopping.is_set():
            if time.monotonic() - self.last_query_at_s > 1.0:
                self._query_addresses()
            self._send()
            self.stopping.wait(SEND_INTERVAL_S)

    def _query_addresses(self) -> None:
        try:
            answer = call(
                self.addresses[0], "GET", "/addresses", headers={"Api-Key": API_KEY}
            )
        except OSError as exc:
            self.outcomes[type(exc).__name__] += 1
            self._rotate_addresses()
            return
        self.last_query_at_s = time.monotonic()
        self.addresses = [offer["address"] for offer in answer.json()["addresses"]]

    def _send(self) -> None:
        try:
            answer = call(
                self.addresses[0],
                "GET",
                "/ledger/x",
                headers={"Api-Key": API_KEY},
                timeout_s=CALL_TIMEOUT_S,
            )
        except OSError as exc:
            self.outcomes[type(exc).__name__] += 1
            self._rotate_addresses()
        else:
            outcome = answer.headers.get("snipespring-outcome", "none")
            self.outcomes[f"{answer.status} {outcome}"] += 1

    def _rotate_addresses(self) -> None:
        self.addresses = [*self.addresses[1:], self.addresses[0]]


def main() -> int:
    """Print one row a fault as a Markdown table."""
    print("| fault | measured | callers saw |\n|---|---|---|")
    for measure in (_measure_kill, _measure_freeze, _measure_outage, _measure_stop):
        with _run_fleet() as fleet, _run_traffic(fleet) as seen:
            row = measure(fleet)
        text = "; ".join(f"{count} x {what}" for what, count in seen().most_common())
        print(f"| {row.fault} | {'; '.join(row.measurements)} | {text} |", flush=True)
    return 0


def _measure_kill(fleet: Fleet) -> Row:
    fleet.send_signal("proxy-1", signal.SIGKILL)
    fleet.wait_for_exit("proxy-1")
    gone_s = _seconds_until(lambda: _has_roster_size(fleet, (0, 2), 2))
    fenced_s = gone_s + _seconds_until(lambda: _is_fenced(fleet, (0, 2)))
    fleet.start_proxy(1)
    back_s = _seconds_until(lambda: _has_recovered(fleet))
    return Row(
        fault="kill -9",
        measurements=(
            f"roster without it {gone_s:.1f} s",
            f"fenced {fenced_s:.1f} s",
            f"after its restart all as before {back_s:.1f} s",
        ),
        outcomes="",
    )


def _measure_freeze(fleet: Fleet) -> Row:
    fleet.send_signal("proxy-1", signal.SIGSTOP)
    version = _apply_rules(fleet, "# one more line")
    others_s = _seconds_until(lambda: _is_active(fleet, version, (0, 2)))
    threading.Event().wait(FREEZE_S - others_s)
    fleet.send_signal("proxy-1", signal.SIGCONT)
    force_s = _seconds_until(lambda: _is_active(fleet, version, (1,)))
    back_s = force_s + _seconds_until(lambda: _has_recovered(fleet))
    return Row(
        fault=f"SIGSTOP {FREEZE_S:g} s, rules changed meanwhile, SIGCONT",
        measurements=(
            f"new rules on the others {others_s:.1f} s",
            f"on the thawed host {force_s:.1f} s after SIGCONT",
            f"lease and roster as before {back_s:.1f} s",
        ),
        outcomes="",
    )


def _measure_outage(fleet: Fleet) -> Row:
    fleet.set_platform_fault(mode="away")
    lapses = 0
    end_s = time.monotonic() + OUTAGE_S
    while time.monotonic() < end_s:
        lapses += sum(not _holds_lease(fleet, index) for index in range(3))
        threading.Event().wait(CHECK_INTERVAL_S)
    fleet.set_platform_fault(mode="up")
    version = _apply_rules(fleet, "# another line")
    force_s = _seconds_until(lambda: _is_active(fleet, version, (0, 1, 2)))
    return Row(
        fault=f"platform away {OUTAGE_S:g} s",
        measurements=(
            f"checks without a lease {lapses}",
            f"rules of after the outage in force everywhere {force_s:.1f} s",
        ),
        outcomes="",
    )


def _measure_stop(fleet: Fleet) -> Row:
    fleet.send_signal("proxy-1", signal.SIGTERM)
    exit_s = _seconds_until(lambda: fleet.processes["proxy-1"].poll() is not None)
    gone_s = exit_s + _seconds_until(lambda: _has_roster_size(fleet, (0, 2), 2))
    fenced_s = gone_s + _seconds_until(lambda: _is_fenced(fleet, (0, 2)))
    return Row(
        fault="SIGTERM",
        measurements=(
            f"exit code {fleet.processes['proxy-1'].returncode} after {exit_s:.1f} s",
            f"roster without it {gone_s:.1f} s",
            f"fenced {fenced_s:.1f} s",
        ),
        outcomes="",
    )


@contextmanager
def _run_fleet() -> Iterator[Fleet]:
    network = find_free_network()
    plan = FleetPlan(network=network, rules=_make_rules(network))
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(plan=plan, folder=Path(folder)) as fleet,
    ):
        _seconds_until(lambda: _has_recovered(fleet))
        yield fleet


@contextmanager
def _run_traffic(fleet: Fleet) -> Iterator[Callable[[], Counter[str]]]:
    stopping = threading.Event()
    known = [fleet.caller_address(index) for index in range(3)]
    callers = [
        Caller(addresses=[*known[first:], *known[:first]], stopping=stopping)
        for first in (number % len(known) for number in range(CALLER_COUNT))
    ]
    threads = [threading.Thread(target=caller.run) for caller in callers]
    for thread in threads:
        thread.start()
    threading.Event().wait(WARM_UP_S)
    try:
        yield lambda: sum((caller.outcomes for caller in callers), Counter())
    finally:
        stopping.set()
        for thread in threads:
            thread.join()


def _make_rules(network: str) -> tuple[str, ...]:
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    return (
        "service ledger floor=60% deadline=2s  # Nora",
        *(f"server ledger {network}.2.{n}:9001 domain=d{n}  # Nora" for n in (1, 2, 3)),
        "route GET /ledger service=ledger  # Nora",
        "organisation hauliers rate=2000/s burst=2000  # Nora",
        f"key hauliers sha256:{digest}  # Nora",
    )


def _apply_rules(fleet: Fleet, extra_line: str) -> int:
    """Apply the rules with one more line; return their version."""
    version: int = fleet.fetch_status(0)["configuration"]
    if fleet.apply_rules((*_make_rules(fleet.plan.network), extra_line)) != 0:
        raise OSError("the rules were not accepted")
    return version + 1


def _seconds_until(condition: Callable[[], bool]) -> float:
    start_s = time.monotonic()
    pause = threading.Event()
    while time.monotonic() - start_s < RECOVERY_TIMEOUT_S:
        try:
            if condition():
                return time.monotonic() - start_s
        except (OSError, ValueError, KeyError):
            pass
        pause.wait(CHECK_INTERVAL_S)
    raise TimeoutError("the fleet did not recover in time")


def _has_roster_size(fleet: Fleet, indices: tuple[int, ...], count: int) -> bool:
    return all(len(fleet.fetch_status(i)["roster"]["hosts"]) == count for i in indices)


def _is_active(fleet: Fleet, version: int, indices: tuple[int, ...]) -> bool:
    return all(
        fleet.fetch_status(index)["configuration"] >= version for index in indices
    )


def _holds_lease(fleet: Fleet, index: int) -> bool:
    kind: str = fleet.fetch_status(index)["lease"]["kind"]
    return kind == "LeaseHeld"


def _is_fenced(fleet: Fleet, indices: tuple[int, ...]) -> bool:
    return all(
        _fence_reaches_roster(fleet.operator_address(index)) for index in indices
    )


def _fence_reaches_roster(operators: str) -> bool:
    regions: dict[str, Any] = call(operators, "GET", "/dump").json()
    version: int = regions["roster"]["version"]
    return bool(regions["fence"]["version"] >= version)


def _has_recovered(fleet: Fleet) -> bool:
    everyone = (0, 1, 2)
    return (
        all(_holds_lease(fleet, index) for index in everyone)
        and _has_roster_size(fleet, everyone, 3)
        and _is_fenced(fleet, everyone)
    )


if __name__ == "__main__":
    sys.exit(main())
