"""Run gateway processes before a store and scripted servers on one network."""

import os
import socket
import subprocess
import sys
import uuid
from collections.abc import Callable
from http.client import HTTPException
from pathlib import Path
from threading import Event, Thread
from typing import Any

import yaml
from attrs import define, field, frozen

from snipespring.platform.settings import SETTINGS_VARIABLE
from standins.harness import Answer, call, find_free_network, wait_until
from standins.http import start_server
from standins.store import StoreApplication
from standins.store.records import CreateObject, DeleteObject, ObjectKey

HOST = "hulo84.example"
BACKEND_PORT = 9001
BACKLOG = 256
DEADLINE_S = 2.0
PATIENCE_S = 4.0
LENGTH_FIELD = "content-length"


@frozen(kw_only=True)
class ReceivedRequest:
    """Represent a request that a scripted server has read."""

    method: str
    target: str
    request_id: str


Answerer = Callable[[socket.socket, ReceivedRequest], bool]


def read_request(conn: socket.socket) -> ReceivedRequest | None:
    """Return the next request with its body read, None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = conn.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {
        name.lower(): value
        for name, value in (line.split(": ", 1) for line in lines if ": " in line)
    }
    left = int(fields.get(LENGTH_FIELD, "0")) - len(body)
    while left > 0:
        left -= len(conn.recv(left))
    method, target, _ = first.split(" ")
    request_id = fields.get("snipespring-request-id", "")
    return ReceivedRequest(method=method, target=target, request_id=request_id)


@define(kw_only=True, eq=False)
class ScriptedServer:
    """Serve connections; `answer` writes to one and returns whether to stay open."""

    ip: str
    answer: Answerer

    def __attrs_post_init__(self) -> None:
        """Start to listen."""
        listener = socket.create_server((self.ip, BACKEND_PORT), backlog=BACKLOG)
        Thread(target=self._accept, args=(listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            conn, _ = listener.accept()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn:
            try:
                while (req := read_request(conn)) and self.answer(conn, req):
                    pass
            except OSError:
                return


def make_route(service: str, kind: str) -> dict[str, Any]:
    """Return a route of `/SERVICE/` without keys."""
    return {
        "Host": HOST,
        "PathPrefix": f"/{service}/",
        "Kind": kind,
        "Timeout": "2s",
        "TargetLatency": "1s",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "AuthExempt": True,
    }


@define(kw_only=True, eq=False)
class GatewayFleet:
    """Manage gateways before servers; `kinds` maps each service to its kind.

    `bounds` are further settings of the gateways' section `platform`. The processes
    are started by `command` in `working_folder`, with the variables `env`.
    """

    folder: Path
    kinds: dict[str, str]
    memory_mib: int = 300
    bounds: dict[str, str] = field(factory=dict)
    command: tuple[str, ...] = (sys.executable, "-m", "snipespring.cli.start_gateway")
    working_folder: Path | None = None
    env: dict[str, str] = field(factory=lambda: dict(os.environ))
    network: str = field(factory=find_free_network)
    app: StoreApplication = field(factory=StoreApplication)
    processes: list[subprocess.Popen[bytes]] = field(factory=list)
    server_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Start the store with a configuration of all services."""
        start_server(listen=f"{self.network}.0.1:8500", app=self.app)
        cfg = {
            "Version": "00000001",
            "Routes": {
                name: make_route(name, kind) for name, kind in self.kinds.items()
            },
            "Services": {
                name: {"HealthPath": "/health", "MaxConns": 330} for name in self.kinds
            },
            "Limits": {},
        }
        self._create("config", "main", cfg)

    def add_server(self, service: str, answer: Answerer) -> None:
        """Start a server and register it."""
        self.server_count += 1
        ip = f"{self.network}.2.{self.server_count}"
        ScriptedServer(ip=ip, answer=answer)
        entry = {
            "Service": service,
            "Address": f"{ip}:{BACKEND_PORT}",
            "Zone": "a",
            "Slots": 3,
            "State": "ready",
            "WarmupLeft": "0ms",
            "born": 1767390266000,
        }
        self._create("servers", f"i-{self.server_count}", entry)

    def start_gateway(self) -> None:
        """Start a gateway and wait until it is ready."""
        self.spawn_gateway()
        number = len(self.processes)
        ready = f"{self.network}.1.{number}:8081"
        wait_until(
            lambda: call(ready, "GET", "/v1/ready").status == 200, f"host {number}"
        )

    def spawn_gateway(self) -> subprocess.Popen[bytes]:
        """Start a gateway as the deploy file does, without waiting for it."""
        number = len(self.processes) + 1
        ip, path = f"{self.network}.1.{number}", self.folder / f"host-{number}.yaml"
        settings = {
            "host": {"id": f"host-{number}", "domain": "a", "region": "r"},
            "listen": {
                "callers": f"{ip}:8080",
                "readiness": f"{ip}:8081",
                "directory": f"{ip}:8082",
                "peers": f"{ip}:7100",
                "operators": f"{ip}:7101",
            },
            "callers": {"memory": f"{self.memory_mib}MiB"},
            "platform": {"store": f"{self.network}.0.1:8500", **self.bounds},
        }
        path.write_text(yaml.safe_dump(settings))
        env = {**self.env, SETTINGS_VARIABLE: str(path)}
        with (self.folder / f"host-{number}.log").open("wb") as log:
            process = subprocess.Popen(
                self.command, cwd=self.working_folder, stdout=log, stderr=log, env=env
            )
        self.processes.append(process)
        return process

    def send(
        self,
        method: str,
        target: str,
        request_id: str,
        *,
        patience_s: float = PATIENCE_S,
    ) -> Answer | None:
        """Send a request to the first gateway; return None without an answer in time.

        The request itself states a deadline of `DEADLINE_S`.
        """
        headers = {
            "Host": HOST,
            "Snipespring-Request-Id": request_id,
            "Snipespring-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        address = f"{self.network}.1.1:8080"
        try:
            return call(address, method, target, headers=headers, timeout_s=patience_s)
        except (OSError, HTTPException):
            return None

    def send_until(
        self, stopping: Event, service: str, pause_s: float, patience_s: float
    ) -> list[int | None]:
        """Send requests to a service; return their statuses, None if out of time."""
        method = "GET" if self.kinds[service] == "safe" else "POST"
        statuses: list[int | None] = []
        while not stopping.wait(pause_s):
            answer = self.send(
                method, f"/{service}/x", uuid.uuid4().hex, patience_s=patience_s
            )
            statuses.append(None if answer is None else answer.status)
        return statuses

    def load(
        self,
        callers: dict[str, int],
        duration_s: float,
        *,
        pauses_s: dict[str, float],
        patience_s: float = PATIENCE_S,
    ) -> dict[str, list[int | None]]:
        """Let callers of each service send for a time; return the statuses."""
        stopping = Event()
        statuses: dict[str, list[int | None]] = {service: [] for service in callers}

        def run(service: str) -> None:
            pause_s = pauses_s[service]
            found = self.send_until(stopping, service, pause_s, patience_s)
            statuses[service].extend(found)

        threads = [
            Thread(target=run, args=(service,))
            for service, count in callers.items()
            for _ in range(count)
        ]
        for thread in threads:
            thread.start()
        stopping.wait(duration_s)
        stopping.set()
        for thread in threads:
            thread.join()
        return statuses

    def read_peak_mib(self) -> float:
        """Return the most memory that the first gateway has had resident."""
        status = Path(f"/proc/{self.processes[0].pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def close(self) -> None:
        """Kill the gateways that this fleet started."""
        for process in self.processes:
            process.kill()
            process.wait()

    def evacuate(self, domain: str) -> None:
        """Ask that the servers of a domain get no requests."""
        self._create("evacuations", domain, {})

    def end_evacuation(self, domain: str) -> None:
        """Let the servers of a domain get requests again."""
        key = ObjectKey(kind="evacuations", name=domain)
        self.app.controller.call(DeleteObject(key=key))

    def _create(self, kind: str, name: str, spec: Any) -> None:
        key = ObjectKey(kind=kind, name=name)
        self.app.controller.call(CreateObject(key=key, spec=spec))
