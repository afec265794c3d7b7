"""Measure the time that one proxy adds and what an idle proxy costs.

Run with `python -m benchmarks.speed`; the table goes to standard output.
"""

import queue
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from hashlib import sha256
from http.client import HTTPConnection
from pathlib import Path
from random import Random
from typing import Annotated

import cappa
from attrs import define, field, frozen
from cappa import Arg
from hdrh.histogram import HdrHistogram

from standins.harness import Fleet, FleetPlan, find_free_network

from .processes import read_cpu_s, read_loopback_bytes, read_memory_mb

__all__ = ["Speed", "main"]

API_KEY = "the-key-of-the-speed-benchmark"
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000.0
CLIENT_COUNT = 24
BACKEND_COUNT = 8
IDLE_PERIOD_S = 15.0


@cappa.command(name="speed")
@frozen(kw_only=True)
class Speed:
    """Compare calls through one proxy with direct calls, interleaved."""

    rate_per_s: Annotated[int, Arg(long=True, help="Requests a second")] = 126
    seconds: Annotated[float, Arg(long=True, help="Seconds a step")] = 15.0
    seed: Annotated[int, Arg(long=True, help="Seed of the arrivals")] = 1
    steps: Annotated[list[int], Arg(long=True, help="Further rates to try, rising")] = (
        field(factory=lambda: [250, 400, 600])
    )


@frozen(kw_only=True)
class Arrival:
    """Say when one request is due and whether it goes through the proxy."""

    due_at_s: float
    is_proxied: bool


@define(kw_only=True, eq=False)
class Latencies:
    """Collect latencies in microseconds of one path."""

    histogram: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )
    failure_count: int = 0
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    def add(self, latency_s: float, is_success: bool) -> None:
        """Record one request."""
        with self._lock:
            self.histogram.record_value(max(1, int(latency_s * US_PER_S)))
            self.failure_count += not is_success

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / US_PER_MS


@define(kw_only=True, eq=False)
class Client:
    """Keep one connection to each address, for one thread."""

    connections: dict[str, HTTPConnection] = field(factory=dict, init=False)

    def get(self, address: str) -> bool:
        """Send one request; return whether the answer was whole and good."""
        conn = self.connections.get(address)
        if conn is None:
            ip, _, port = address.rpartition(":")
            conn = HTTPConnection(ip, int(port), timeout=10.0)
            self.connections[address] = conn
        try:
            conn.request("GET", "/ledger/balance", headers={"Api-Key": API_KEY})
            resp = conn.getresponse()
            resp.read()
        except OSError:
            conn.close()
            return False
        return resp.status == 200


def make_arrivals(rate_per_s: int, duration_s: float, rng: Random) -> list[Arrival]:
    """Return Poisson arrivals at the rate for each of both paths, in order."""
    arrivals = []
    for proxied in (False, True):
        due_s = 0.0
        while due_s < duration_s:
            due_s += rng.expovariate(rate_per_s)
            arrivals.append(Arrival(due_at_s=due_s, is_proxied=proxied))
    return sorted(arrivals, key=lambda arrival: arrival.due_at_s)


def run_arrivals(
    fleet: Fleet, arrivals: list[Arrival], rng: Random
) -> tuple[Latencies, Latencies]:
    """Send every arrival when due; return the direct and the proxied latencies."""
    direct, proxied = Latencies(), Latencies()
    due: queue.SimpleQueue[Arrival | None] = queue.SimpleQueue()
    backends = [fleet.backend_address(index) for index in range(BACKEND_COUNT)]
    start_s = time.monotonic() + 0.2

    def work() -> None:
        client = Client()
        while (arrival := due.get()) is not None:
            address = (
                fleet.caller_address(0) if arrival.is_proxied else rng.choice(backends)
            )
            ok = client.get(address)
            latency_s = time.monotonic() - start_s - arrival.due_at_s
            (proxied if arrival.is_proxied else direct).add(latency_s, ok)

    with ThreadPoolExecutor(CLIENT_COUNT) as pool:
        for _ in range(CLIENT_COUNT):
            pool.submit(work)
        for arrival in arrivals:
            pause_s = start_s + arrival.due_at_s - time.monotonic()
            if pause_s > 0:
                time.sleep(pause_s)
            due.put(arrival)
        for _ in range(CLIENT_COUNT):
            due.put(None)
    return direct, proxied


def print_step(rate_per_s: int, direct: Latencies, proxied: Latencies) -> None:
    """Print one row of the table."""
    cells = [str(rate_per_s)]
    for percentile in (50.0, 99.0):
        base_ms = direct.percentile_ms(percentile)
        total_ms = proxied.percentile_ms(percentile)
        cells += [f"{base_ms:.2f}", f"{total_ms:.2f}", f"{total_ms - base_ms:.2f}"]
    cells += [str(direct.failure_count), str(proxied.failure_count)]
    print(f"| {' | '.join(cells)} |", flush=True)


def measure_idle(fleet: Fleet) -> None:
    """Print what the proxies cost while no caller sends anything."""
    pids = [
        process.pid
        for name, process in fleet.processes.items()
        if name.startswith("proxy")
    ]
    cpu_s = sum(read_cpu_s(pid) for pid in pids)
    carried = read_loopback_bytes()
    threading.Event().wait(IDLE_PERIOD_S)
    cpu_s = sum(read_cpu_s(pid) for pid in pids) - cpu_s
    carried = read_loopback_bytes() - carried
    share = cpu_s / IDLE_PERIOD_S / len(pids)
    memory_mb = max(read_memory_mb(pid) for pid in pids)
    print(
        f"idle, a proxy of {len(pids)}: {share:.2%} of a core, {memory_mb:.0f} MB, "
        f"{carried / IDLE_PERIOD_S / len(pids) / 1000:.1f} KB/s on loopback, headers included"
    )


def main(command: Speed) -> None:
    """Run every step and print the table."""
    rng = Random(command.seed)
    network = find_free_network()
    plan = FleetPlan(
        network=network,
        backend_count=BACKEND_COUNT,
        work_s=0.002,
        rules=(
            "service ledger slots=16 deadline=5s  # benchmark",
            *(
                f"server ledger {network}.2.{n + 1}:9001 domain=domain-0  # benchmark"
                for n in range(BACKEND_COUNT)
            ),
            "route GET /ledger service=ledger  # benchmark",
            "organisation all rate=100000/s burst=100000  # benchmark",
            f"key all sha256:{sha256(API_KEY.encode()).hexdigest()}  # benchmark",
        ),
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(plan=plan, folder=Path(folder)) as fleet,
    ):
        measure_idle(fleet)
        print("| rate/s | direct p50 ms | proxied | added ", end="")
        print("| direct p99 ms | proxied | added | direct failed | proxied failed |")
        print("|" + "---|" * 9, flush=True)
        for rate_per_s in (command.rate_per_s, *command.steps):
            arrivals = make_arrivals(rate_per_s, command.seconds, rng)
            direct, proxied = run_arrivals(fleet, arrivals, rng)
            print_step(rate_per_s, direct, proxied)


if __name__ == "__main__":
    main(cappa.parse(Speed, argv=sys.argv[1:]))
