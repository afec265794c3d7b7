"""Send signals to gateway processes at seeded moments."""

import random
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.harness import call, wait_until
from tests.gateway_fleet import GatewayFleet

EXIT_TIMEOUT_S = 30.0
LONGEST_START_S = 0.6
WATCH_IMPORTS = """
import signal, sys

# A process inherits that SIGHUP is ignored, for example from nohup.
signal.signal(signal.SIGHUP, signal.SIG_DFL)

class Watch:
    def find_spec(self, name, path=None, target=None):
        if name.startswith("snipespring.") and not name.startswith("snipespring.cli"):
            print(name, signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)

sys.meta_path.insert(0, Watch())
from snipespring.cli.start_gateway import start_gateway
start_gateway("/nonexistent/host.yaml")
"""


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[GatewayFleet]:
    running = GatewayFleet(folder=tmp_path, kinds={"ledger": "safe"})
    yield running
    running.close()


def read_mask(process: subprocess.Popen[bytes], name: str) -> int:
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith(name))
    return int(line.split()[1], 16)


def heeds_hangups(process: subprocess.Popen[bytes]) -> bool:
    masks = read_mask(process, "SigIgn") | read_mask(process, "SigCgt")
    return bool(masks >> (signal.SIGHUP - 1) & 1)


def test_a_host_ignores_hangups_before_it_loads_its_modules() -> None:
    # Guards against a host that ends by SIGHUP while it starts.
    command = [sys.executable, "-c", WATCH_IMPORTS]
    run = subprocess.run(command, capture_output=True, check=True, text=True)
    seen = dict(line.split() for line in run.stdout.splitlines())
    assert "snipespring.daemons.gateway" in seen
    assert [name for name, ignored in seen.items() if ignored == "False"] == [
        "snipespring.exception"
    ]


@pytest.mark.parametrize("seed", range(4))
def test_hangups_at_any_moment_do_not_end_a_host(
    fleet: GatewayFleet, seed: int
) -> None:
    rng = random.Random(seed)
    process = fleet.spawn_gateway()
    wait_until(lambda: heeds_hangups(process), "the host to heed SIGHUP")
    for _ in range(6):
        time.sleep(rng.uniform(0.0, LONGEST_START_S / 3))
        process.send_signal(signal.SIGHUP)
    ready = f"{fleet.network}.1.1:8081"
    wait_until(lambda: call(ready, "GET", "/v1/ready").status == 200, "the host")
    for signum in rng.sample([signal.SIGHUP, signal.SIGTERM, signal.SIGHUP], 3):
        process.send_signal(signum)
        time.sleep(rng.uniform(0.0, 0.05))
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)
    assert process.wait(EXIT_TIMEOUT_S) == 0
