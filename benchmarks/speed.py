"""Measure the latency that one proxy adds and the resources of an idle proxy.

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
    """Describe when one request is due and whether it goes through the proxy."""

    due_at_s: float
    is_proxied: bool


@define(kw_only=True, eq=False)
class Latencies:
    """Collect the latencies of the direct or the proxied path in microseconds."""

    histogram: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )
    failure_count: int = 0
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    def add(self, latency_s: float, is_success: bool) -> None:
        """Record the latency and result of one request."""
        with self._lock:
            self.histogram.record_value(max(1, int(latency_s * US_PER_S)))
            self.failure_count += not is_success

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / US_PER_MS


@define(kw_only=True, eq=False)
class Client:
    """Send requests from one thread over one connection for each address."""

    connections: dict[str, HTTPConnection] = field(factory=dict, init=False)

    def get(self, address: str) -> bool:
        """Send one request; return whether a complete answer has status 200."""
        connection = self.connections.get(address)
        if connection is None:
            ip, _, port = address.rpartition(":")
            connection = HTTPConnection(ip, int(port), timeout=10.0)
            self.connections[address] = connection
        try:
            connection.request("GET", "/ledger/balance", headers={"Api-Key": API_KEY})
            response = connection.getresponse()
            response.read()
        except OSError:
            connection.close()
            return False
        return response.status == 200


def make_arrivals(rate_per_s: int, duration_s: float, rng: Random) -> list[Arrival]:
    """Return Poisson arrivals on both paths in order of time.

    Each path has the full rate.
    """
    arrivals = []
    for is_proxied in (False, True):
        due_at_s = 0.0
        while due_at_s < duration_s:
            due_at_s += rng.expovariate(rate_per_s)
            arrivals.append(Arrival(due_at_s=due_at_s, is_proxied=is_proxied))
    return sorted(arrivals, key=lambda arrival: arrival.due_at_s)


def run_arrivals(
    fleet: Fleet, arrivals: list[Arrival], rng: Random
) -> tuple[Latencies, Latencies]:
    """Send each request when it is due; return direct and proxied latencies.

    Latencies count from the time a request is due, so they include delays before
    it is sent.
    """
    direct, proxied = Latencies(), Latencies()
    due_arrivals: queue.SimpleQueue[Arrival | None] = queue.SimpleQueue()
    backends = [fleet.backend_address(index) for index in range(BACKEND_COUNT)]
    start_at_s = time.monotonic() + 0.2

    def send_due() -> None:
        client = Client()
        while (arrival := due_arrivals.get()) is not None:
            address = (
                fleet.caller_address(0) if arrival.is_proxied else rng.choice(backends)
            )
            is_success = client.get(address)
            latency_s = time.monotonic() - start_at_s - arrival.due_at_s
            (proxied if arrival.is_proxied else direct).add(latency_s, is_success)

    with ThreadPoolExecutor(CLIENT_COUNT) as pool:
        for _ in range(CLIENT_COUNT):
            pool.submit(send_due)
        for arrival in arrivals:
            pause_s = start_at_s + arrival.due_at_s - time.monotonic()
            if pause_s > 0:
                time.sleep(pause_s)
            due_arrivals.put(arrival)
        for _ in range(CLIENT_COUNT):
            due_arrivals.put(None)
    return direct, proxied


def print_step(rate_per_s: int, direct: Latencies, proxied: Latencies) -> None:
    """Print one row of the table."""
    cells = [str(rate_per_s)]
    for percentile in (50.0, 99.0):
        direct_ms = direct.percentile_ms(percentile)
        proxied_ms = proxied.percentile_ms(percentile)
        cells += [
            f"{direct_ms:.2f}",
            f"{proxied_ms:.2f}",
            f"{proxied_ms - direct_ms:.2f}",
        ]
    cells += [str(direct.failure_count), str(proxied.failure_count)]
    print(f"| {' | '.join(cells)} |", flush=True)


def measure_idle(fleet: Fleet) -> None:
    """Print the processor time, memory and traffic of proxies without requests."""
    pids = [
        process.pid
        for name, process in fleet.processes.items()
        if name.startswith("proxy")
    ]
    cpu_s = sum(read_cpu_s(pid) for pid in pids)
    loopback_bytes = read_loopback_bytes()
    threading.Event().wait(IDLE_PERIOD_S)
    cpu_s = sum(read_cpu_s(pid) for pid in pids) - cpu_s
    loopback_bytes = read_loopback_bytes() - loopback_bytes
    core_fraction = cpu_s / IDLE_PERIOD_S / len(pids)
    memory_mb = max(read_memory_mb(pid) for pid in pids)
    print(
        f"idle, a proxy of {len(pids)}: {core_fraction:.2%} of a core,"
        f" {memory_mb:.0f} MB, {loopback_bytes / IDLE_PERIOD_S / len(pids) / 1000:.1f}"
        " KB/s on loopback, headers included"
    )


def main(command: Speed) -> None:
    """Run all steps and print the table."""
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
