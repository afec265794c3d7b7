"""Load the target's rules into real proxies, change one line and watch.

Run with `python -m benchmarks.full_size`; figures go to standard output.
"""

import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Annotated

import cappa
from attrs import frozen
from cappa import Arg

from standins.harness import Fleet, FleetPlan, call, find_free_network

from .processes import read_cpu_s, read_memory_mb
from .slopes.inputs import make_rules_text

__all__ = ["FullSize", "main"]

IDLE_PERIOD_S = 15.0
ACTIVATION_TIMEOUT_S = 60.0
CHECK_INTERVAL_S = 0.05
SMALL_RULES = ("service s0  # bench", "server s0 127.0.0.1:1 domain=d0  # bench")


@cappa.command(name="full-size")
@frozen(kw_only=True)
class FullSize:
    """Measure real proxies that hold the rules of the target size."""

    routes: Annotated[int, Arg(long=True, help="Routes")] = 15000
    organisations: Annotated[int, Arg(long=True, help="Organisations")] = 24000
    servers: Annotated[int, Arg(long=True, help="Backend servers")] = 9600


@frozen(kw_only=True)
class ProxyUsage:
    """Hold what the proxies have used so far."""

    cpu_s: float
    memory_mb: float


def read_usage(fleet: Fleet) -> ProxyUsage:
    """Return processor seconds of all proxies and the largest memory of one."""
    pids = [
        process.pid
        for name, process in fleet.processes.items()
        if name.startswith("proxy")
    ]
    return ProxyUsage(
        cpu_s=sum(read_cpu_s(pid) for pid in pids) / len(pids),
        memory_mb=max(read_memory_mb(pid) for pid in pids),
    )


def apply_and_wait(fleet: Fleet, lines: tuple[str, ...], version: int) -> float:
    """Apply rules; return seconds from acceptance until in force everywhere."""
    if fleet.apply_rules(lines) != 0:
        raise OSError("the rules were not accepted")
    accepted_s = time.monotonic()
    pause = threading.Event()
    while not _is_active(fleet, version):
        if time.monotonic() - accepted_s > ACTIVATION_TIMEOUT_S:
            raise TimeoutError("not in force in time")
        pause.wait(CHECK_INTERVAL_S)
    return time.monotonic() - accepted_s


def _is_active(fleet: Fleet, version: int) -> bool:
    return all(
        fleet.fetch_status(index)["configuration"] >= version
        for index in range(fleet.plan.proxy_count)
    )


def print_step(
    step: str, activation_s: float, before: ProxyUsage, after: ProxyUsage
) -> None:
    """Print one step's time to in force and what it cost a proxy."""
    cpu_s = after.cpu_s - before.cpu_s
    print(
        f"| {step} | {activation_s:.2f} | {cpu_s:.2f} | {after.memory_mb:.0f} |",
        flush=True,
    )


def measure_idle(fleet: Fleet) -> None:
    """Print the processor share of an idle proxy that holds the rules."""
    before = read_usage(fleet)
    threading.Event().wait(IDLE_PERIOD_S)
    after = read_usage(fleet)
    share = (after.cpu_s - before.cpu_s) / IDLE_PERIOD_S
    print(f"idle with these rules: {share:.2%} of a core a proxy")
    counts = call(fleet.platform_address, "GET", "/control/counts").json()
    print(f"platform calls so far: {counts}")


def main(command: FullSize) -> None:
    """Run every step and print the table."""
    text = make_rules_text(
        routes=command.routes,
        organisations=command.organisations,
        servers=command.servers,
    ).decode()
    lines = tuple(text.splitlines())
    changed = (*lines[:-2], "organisation extra rate=9/s burst=9  # bench", *lines[-2:])
    print(f"{len(lines)} lines, {len(text) / 1e6:.2f} MB")
    plan = FleetPlan(network=find_free_network(), backend_count=0, rules=SMALL_RULES)
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(plan=plan, folder=Path(folder)) as fleet,
    ):
        print("| step | in force after s | processor s a proxy | memory MB |")
        print("|---|---|---|---|")
        start = read_usage(fleet)
        print_step("small rules", 0.0, start, start)
        in_force_s = apply_and_wait(fleet, lines, 2)
        loaded = read_usage(fleet)
        print_step("all rules", in_force_s, start, loaded)
        in_force_s = apply_and_wait(fleet, changed, 3)
        print_step("one line more", in_force_s, loaded, read_usage(fleet))
        measure_idle(fleet)


if __name__ == "__main__":
    main(cappa.parse(FullSize, argv=sys.argv[1:]))
