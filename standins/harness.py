"""Run a small fleet as separate processes on loopback addresses."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from random import SystemRandom
from typing import Any

import yaml
from attrs import define, field, frozen

__all__ = [
    "Answer",
    "Fleet",
    "FleetPlan",
    "call",
    "find_free_network",
    "run_limited",
    "wait_until",
]

WAIT_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 15.0
LOG_TAIL_CHARS = 4000
PLATFORM_PORT = 8500
CALLERS_PORT = 8080
PEERS_PORT = 7400
OPERATORS_PORT = 9100
BACKEND_PORT = 9001
FIRST_NETWORK_NUMBER = 60
NETWORK_COUNT = 180
PEER_SECRET = "an example secret of a test fleet"

_reservations: list[socket.socket] = []


@frozen(kw_only=True)
class Answer:
    """Describe an HTTP answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


@frozen(kw_only=True)
class FleetPlan:
    """Specify the processes of a fleet and the rules to apply.

    `proxy_options` maps sections of the proxies' settings to options that override
    the options that the harness sets.
    """

    network: str
    proxy_count: int = 3
    backend_count: int = 3
    service: str = "ledger"
    work_s: float = 0.01
    rules: tuple[str, ...] = ()
    address_lifetime: str = "1s"
    proxy_options: dict[str, dict[str, Any]] = field(factory=dict)


def call(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Send one request on a new connection; raise OSError if it fails."""
    ip, _, port = address.rpartition(":")
    conn = HTTPConnection(ip, int(port), timeout=timeout_s)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        resp = conn.getresponse()
        content = resp.read()
    except HTTPException as exc:
        raise OSError(f"{type(exc).__name__}: {exc}") from exc
    finally:
        conn.close()
    fields = {name.lower(): val for name, val in resp.getheaders()}
    return Answer(status=resp.status, headers=fields, body=content)


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Poll until the condition holds; raise TimeoutError if it does not in time.

    An OSError, ValueError or KeyError in the condition counts as not yet true.
    """
    pause = threading.Event()
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end_s:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        pause.wait(POLL_INTERVAL_S)
    raise TimeoutError(f"timed out waiting for {description}")


def run_limited(code: str, content: bytes, *, limit_s: float) -> str:
    """Run Python code on standard input in a process of its own; return its output.

    Raise TimeoutExpired after `limit_s` seconds, CalledProcessError if the code fails.
    """
    done = subprocess.run(
        [sys.executable, "-c", code],
        input=content,
        stdout=subprocess.PIPE,
        timeout=limit_s,
        check=True,
    )
    return done.stdout.decode().strip()


def find_free_network() -> str:
    """Reserve an unused loopback network for this process; return it as `127.N`.

    The reservation is a bound socket, so that no other process gets the network
    before the servers of this one are bound.
    """
    candidates = SystemRandom().sample(range(NETWORK_COUNT), NETWORK_COUNT)
    for number in candidates:
        network = f"127.{FIRST_NETWORK_NUMBER + number}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.0.2", PLATFORM_PORT))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return network
    raise OSError(f"all {NETWORK_COUNT} loopback networks are in use")


@define(kw_only=True, eq=False)
class Fleet:
    """Manage the processes of one fleet; use as a context manager."""

    plan: FleetPlan
    folder: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(factory=dict, init=False)

    def __enter__(self) -> "Fleet":
        """Start all processes; wait until each proxy has a lease and full roster."""
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Kill the processes that still run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    @property
    def platform_address(self) -> str:
        """Return the platform's address."""
        return f"{self.plan.network}.0.1:{PLATFORM_PORT}"

    def caller_address(self, index: int) -> str:
        """Return the callers' address of a proxy; indexes start at 0."""
        return f"{self.plan.network}.1.{index + 1}:{CALLERS_PORT}"

    def operator_address(self, index: int) -> str:
        """Return the operators' address of a proxy."""
        return f"{self.plan.network}.1.{index + 1}:{OPERATORS_PORT}"

    def backend_address(self, index: int) -> str:
        """Return the address of a backend server."""
        return f"{self.plan.network}.2.{index + 1}:{BACKEND_PORT}"

    def start_proxy(self, index: int) -> None:
        """Write the settings file of a proxy and start it."""
        path = self.folder / f"host-{index}.yaml"
        path.write_text(yaml.safe_dump(self._make_settings(index)))
        (self.folder / "secret.txt").write_text(PEER_SECRET)
        log_path = self.folder / f"host-{index}.log"
        self._start_process(
            f"proxy-{index}",
            ["-m", "snipespring", "proxy", "--settings", str(path)],
            log_path,
        )

    def start_backend(self, index: int) -> None:
        """Start a backend server."""
        arguments = ["-m", "standins.backend", "--listen", self.backend_address(index)]
        arguments += ["--service", self.plan.service]
        arguments += ["--work-s", str(self.plan.work_s)]
        self._start_process(
            f"backend-{index}", arguments, self.folder / f"backend-{index}.log"
        )

    def send_signal(self, name: str, signum: int) -> None:
        """Send a signal to a process; after SIGSTOP, wait until it is stopped."""
        process = self.processes[name]
        process.send_signal(signum)
        if signum == signal.SIGSTOP:
            os.waitid(os.P_PID, process.pid, os.WSTOPPED)

    def wait_for_exit(self, name: str) -> int:
        """Wait for a process to exit and return its exit code.

        Raise TimeoutError with the end of its log if it does not exit in time.
        """
        try:
            return self.processes[name].wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired as exc:
            raise TimeoutError(
                f"{name} did not exit in {EXIT_TIMEOUT_S} s: {self._read_log(name)}"
            ) from exc

    def apply_rules(self, lines: tuple[str, ...]) -> int:
        """Apply rules with `snipespring rules apply`; return its exit code."""
        path = self.folder / "rules.txt"
        path.write_text("\n".join(lines) + "\n")
        return self.run_command(
            "rules", "apply", str(path), "--platform", f"http://{self.platform_address}"
        ).returncode

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[bytes]:
        """Run `snipespring` with arguments; return its exit code and output."""
        command = [sys.executable, "-m", "snipespring", *arguments]
        return subprocess.run(command, capture_output=True, check=False)

    def fetch_status(self, index: int) -> Any:
        """Return the status page of a proxy."""
        return call(self.operator_address(index), "GET", "/status").json()

    def fetch_runs(self) -> list[dict[str, Any]]:
        """Return the recorded runs of all backend servers that answer."""
        runs: list[dict[str, Any]] = []
        for index in range(self.plan.backend_count):
            try:
                runs += call(self.backend_address(index), "GET", "/-/runs").json()
            except OSError:
                continue
        return runs

    def set_backend_fault(self, index: int, **fault: Any) -> None:
        """Set the fault mode of a backend server."""
        content = json.dumps(fault).encode()
        call(self.backend_address(index), "POST", "/-/faults", body=content)

    def set_platform_fault(self, **fault: Any) -> None:
        """Set the fault of the platform's store."""
        content = json.dumps(fault).encode()
        call(self.platform_address, "POST", "/control/faults", body=content)

    def _read_log(self, name: str) -> str:
        log_name = name.replace("proxy-", "host-")
        text = (self.folder / f"{log_name}.log").read_text()
        return text[-LOG_TAIL_CHARS:]

    def _start_all(self) -> None:
        self._start_process(
            "platform",
            ["-m", "standins.store", "--listen", self.platform_address],
            self.folder / "platform.log",
        )
        for index in range(self.plan.backend_count):
            self.start_backend(index)
        self._wait_for_standins()
        if self.apply_rules(self.plan.rules) != 0:
            raise OSError("could not apply the rules of the plan")
        for index in range(self.plan.proxy_count):
            self.start_proxy(index)
        wait_until(
            self._are_all_proxies_ready,
            "every proxy to have its lease and the full roster",
        )

    def _wait_for_standins(self) -> None:
        wait_until(
            lambda: call(self.platform_address, "GET", "/control/counts").status == 200,
            "the platform",
        )
        for index in range(self.plan.backend_count):
            address = self.backend_address(index)
            wait_until(
                lambda address=address: (  # type: ignore[misc]
                    call(address, "GET", "/-/load").status == 200
                ),
                address,
            )

    def _are_all_proxies_ready(self) -> bool:
        states = [self.fetch_status(index) for index in range(self.plan.proxy_count)]
        return all(
            state["lease"]["kind"] == "LeaseHeld"
            and len(state["roster"]["hosts"]) == self.plan.proxy_count
            for state in states
        )

    def _make_settings(self, index: int) -> dict[str, Any]:
        ip = f"{self.plan.network}.1.{index + 1}"
        settings: dict[str, Any] = {
            "host": {
                "id": f"host-{index}",
                "domain": f"domain-{index % 3}",
                "region": "region",
            },
            "listen": {
                "callers": f"{ip}:{CALLERS_PORT}",
                "peers": f"{ip}:{PEERS_PORT}",
                "operators": f"{ip}:{OPERATORS_PORT}",
            },
            "platform": {"url": f"http://{self.platform_address}"},
            "peers": {"secret_file": "secret.txt"},
            "callers": {"address_lifetime": self.plan.address_lifetime},
        }
        for section, options in self.plan.proxy_options.items():
            settings[section] = {**settings.get(section, {}), **options}
        return settings

    def _start_process(self, name: str, arguments: list[str], log_path: Path) -> None:
        with log_path.open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=os.environ.copy(),
            )
