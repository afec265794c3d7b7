"""Run the deployed gateways against stand-ins, and record what is sent and run."""

import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
STORE_PORT = 8500
CALLERS_PORT = 8045
READINESS_PORT = 8048
DIRECTORY_PORT = 8044
PEERS_PORT = 7100
OPERATORS_PORT = 7115
BACKEND_PORT = 9001
START_TIMEOUT_S = 20.0
HOST = "hulo84.example"
API_KEY = "nn2ctnfzs989anu6wsjn"
TENANT = "cuka620"
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2
# The values that the platform fills into the template of a host's settings; the
# bounds are those of the site gleannan-gw.
SITE_VALUES: dict[str, Any] = {
    "Region": "eire-east",
    "Limits.MemoryMb": 300,
    "Limits.MaxFds": 4100,
    "Limits.CpuShare": 0.86,
    "Limits.Cores": 1,
    "Limits.LinkMbps": 1000.0,
    "Bounds.Revoke": "5000ms",
    "Bounds.ConfigApply": "2000ms",
    "Bounds.Drain": "2000ms",
    "Bounds.QuotaWindow": "5s",
    "Bounds.QuotaOvershoot": 0.1,
    "Bounds.QuotaSlack": 20,
    "Bounds.RetryBudgetRatio": 0.2,
    "Bounds.RetryBudgetSlack": 56,
    "Bounds.BudgetWindow": "10s",
    "Bounds.FloorShare": 0.7,
    "Bounds.Grace": "6s",
}


class Record:
    """Write one line for each event to `record.txt`, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._start_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w")

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> float:
        """Write one line and return its time."""
        with self._lock:
            now_s = self.now_s()
            self._file.write(f"{now_s:9.3f} {text}\n")
            self._file.flush()
        return now_s


class Deployment:
    """Run a store and gateways on one loopback network; use as a context manager."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = _find_network()
        self.store = f"{self.network}.0.1:{STORE_PORT}"
        self.store_for_hosts = self.store
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self._command = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()

    def __enter__(self) -> "Deployment":
        """Start the store's stand-in."""
        try:
            self._start(
                "store", ["python3", "-m", "standins.store", "--listen", self.store]
            )
            wait_for(lambda: self.call_store("GET", "/v1/objects/config")[0] == 200)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Kill what still runs and remove the temporary folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_gateway(self, name: str, index: int, zone: str) -> None:
        """Start a host with the command and the settings of the deploy file."""
        ip = self.gateway_ip(index)
        values = {
            **SITE_VALUES,
            "NodeName": name,
            "Zone": zone,
            "Ip": ip,
            "Listen.Front": f"{ip}:{CALLERS_PORT}",
            "Listen.ReadinessAddress": f"{ip}:{READINESS_PORT}",
            "Listen.Directory": f"{ip}:{DIRECTORY_PORT}",
            "InternalPorts.0": PEERS_PORT,
            "InternalPorts.1": OPERATORS_PORT,
            "Platform.Address": self.store_for_hosts,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(_render(self._template, values))
        self._start(name, self._command, {"SNIPESPRING_SETTINGS": str(path)})

    def gateway_ip(self, index: int) -> str:
        """Return the address of a host."""
        return f"{self.network}.1.{index + 1}"

    def backend_ip(self, index: int) -> str:
        """Return the address of a backend server."""
        return f"{self.network}.2.{index + 1}"

    def is_ready(self, index: int) -> bool:
        """Return whether a host says that it is ready."""
        ip = self.gateway_ip(index)
        return _call(ip, READINESS_PORT, "GET", "/v1/ready", None)[0] == 200

    def signal_gateway(self, name: str, signum: int) -> None:
        """Send a signal to a host that this deployment started."""
        self.record.write(f"signal {signal.Signals(signum).name} to {name}")
        self._processes[name].send_signal(signum)

    def wait_for_exit(self, name: str, timeout_s: float) -> int | None:
        """Return the exit code of a process, None if it still runs."""
        try:
            return self._processes[name].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def read_log(self, name: str) -> str:
        """Return what a process wrote."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def call_store(
        self, method: str, path: str, content: Any = None
    ) -> tuple[int, Any]:
        """Call the store as the operator or a server does."""
        ip, _, port = self.store.rpartition(":")
        return _call(ip, int(port), method, path, content)

    def put_object(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object."""
        body = {"Metadata": {"Name": name}, "Spec": spec}
        status, _ = self.call_store("POST", f"/v1/objects/{kind}", body)
        if status == 409:
            body = {"Metadata": {}, "Spec": spec}
            status, _ = self.call_store("PUT", f"/v1/objects/{kind}/{name}", body)
        if status not in (200, 201):
            raise OSError(f"the store answered {status} to a write")

    def delete_object(self, kind: str, name: str) -> None:
        """Remove an object."""
        status, _ = self.call_store("DELETE", f"/v1/objects/{kind}/{name}")
        if status != 200:
            raise OSError(f"the store answered {status} to a removal")

    def register_server(
        self, name: str, service: str, ip: str, zone: str, **fields: Any
    ) -> None:
        """Write the entry of a backend server as the server itself does."""
        entry = {
            "Service": service,
            "Address": f"{ip}:{BACKEND_PORT}",
            "Zone": zone,
            "Version": "v1",
            "Slots": 3,
            "State": "ready",
            "WarmupLeft": "0ms",
            "Seq": 1,
            "born": 1767390266000,
            **fields,
        }
        self.put_object("servers", name, entry)

    def _start(
        self, name: str, command: list[str], env: dict[str, str] | None = None
    ) -> None:
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        deps = str(ROOT / "target/deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**kept, "PYTHONPATH": deps, **(env or {})},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )


class Connection:
    """Read requests from one connection and write raw bytes to it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._file = sock.makefile("rb")

    def read_request(self) -> tuple[str, str, dict[str, str], bytes] | None:
        """Return method, target, headers and body, None at the end."""
        line = self._file.readline()
        if not line:
            return None
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers: dict[str, str] = {}
        while (line := self._file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = self._file.read(int(headers.get("content-length", "0")))
        return method, target, headers, body

    def reset(self) -> None:
        """Close the connection by a reset."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        # The thread that waits on the other side keeps the descriptor open.
        self._file.close()
        self.sock.close()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class SilentPath:
    """Pass on the bytes of connections to one server until they go silent.

    Connections that are open when `silence` is called carry nothing more in either
    direction and stay open; later ones work.
    """

    def __init__(self, ip: str, target_ip: str) -> None:
        self._target = (target_ip, BACKEND_PORT)
        self._epoch = 0
        self._stop = serve(ip, self._pass_on)

    def silence(self) -> None:
        """Let the open connections go silent for good."""
        self._epoch += 1

    def _pass_on(self, conn: Connection) -> None:
        epoch = self._epoch
        with socket.create_connection(self._target) as upstream:
            forward = threading.Thread(
                target=self._copy, args=(conn.sock, upstream, epoch), daemon=True
            )
            forward.start()
            self._copy(upstream, conn.sock, epoch)
            forward.join()

    def _copy(self, source: socket.socket, target: socket.socket, epoch: int) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if epoch == self._epoch:
                    target.sendall(data)
        if epoch == self._epoch:
            with contextlib.suppress(OSError):
                target.shutdown(socket.SHUT_WR)


class StorePath:
    """Pass on the hosts' calls to the store, and cut off watches that wait."""

    def __init__(self, ip: str, store: str) -> None:
        host, _, port = store.rpartition(":")
        self._target = (host, int(port))
        self._lock = threading.Lock()
        self._waiting: dict[Connection, str] = {}
        serve(ip, self._pass_on, port=STORE_PORT)

    def cut_watches(self, kind: str) -> int:
        """Reset the connections on which watches of a kind wait; return how many."""
        with self._lock:
            cut = [
                conn
                for conn, target in self._waiting.items()
                if target.startswith(f"/v1/objects/{kind}?Watch=")
            ]
        for conn in cut:
            conn.reset()
        return len(cut)

    def _pass_on(self, conn: Connection) -> None:
        with socket.create_connection(self._target) as upstream:
            answers = upstream.makefile("rb")
            while (request := conn.read_request()) is not None:
                method, target, headers, body = request
                with self._lock:
                    self._waiting[conn] = target
                try:
                    upstream.sendall(_encode_request(method, target, headers, body))
                    conn.sock.sendall(_read_answer(answers))
                finally:
                    with self._lock:
                        del self._waiting[conn]


def _encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def _read_answer(answers: Any) -> bytes:
    head, length = b"", 0
    while (line := answers.readline()) not in (b"\r\n", b""):
        head += line
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    if not line:
        raise OSError("the store closed the connection")
    return bytes(head + line + answers.read(length))


def serve(
    ip: str, handle: Callable[[Connection], None], port: int = BACKEND_PORT
) -> Callable[[], None]:
    """Serve a backend server's connections on threads; return how to stop it."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, port))
    listener.listen(330)
    open_connections: set[Connection] = set()

    def run(conn: Connection) -> None:
        try:
            handle(conn)
        except (OSError, ValueError):
            pass
        finally:
            conn.close()
            open_connections.discard(conn)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                conn = Connection(sock)
                open_connections.add(conn)
                threading.Thread(target=run, args=(conn,), daemon=True).start()

    def stop() -> None:
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for conn in list(open_connections):
            conn.close()

    threading.Thread(target=accept, daemon=True).start()
    return stop


def make_route(prefix: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "Timeout": "2500ms",
        "TargetLatency": "1000ms",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "AuthExempt": False,
        **fields,
    }


def make_configuration(
    version: int, routes: dict[str, dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a configuration with one tenant whose allowance is never reached."""
    service = {"HealthPath": "/health", "MaxConns": 330, "Protocol": "h1", "Tls": False}
    return {
        "Version": f"{version:08x}",
        "Routes": routes,
        "Services": dict.fromkeys(services, service),
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
        "Tenants": {
            TENANT: {
                "ApiKeys": [API_KEY],
                "Priority": 1,
                "RatePerS": 5000,
                "Burst": 5000,
            }
        },
    }


def make_request_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "Snipespring-Request-Id": request_id,
        "Snipespring-Deadline-Ms": str(deadline_ms),
        "Snipespring-Credential": API_KEY,
    }


def make_request_id() -> str:
    """Return a new request id."""
    return f"{random.getrandbits(64):016x}"


def wait_for(is_true: Callable[[], bool], timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait for a condition; raise TimeoutError if it does not come true."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError, ValueError):
            if is_true():
                return
        time.sleep(0.05)
    raise TimeoutError("a condition did not come true in time")


def has_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record], bool]) -> int:
    """Play a case; return the exit code for a broken rule, one kept, or no run."""
    record = Record(folder)
    try:
        is_broken = play(record)
    except (OSError, HTTPException, TimeoutError) as exc:
        record.write(f"could not run: {type(exc).__name__}: {exc}")
        return EXIT_NOT_RUN
    record.write("the rule was broken" if is_broken else "the rule held")
    return EXIT_BROKEN if is_broken else EXIT_HELD


def _call(ip: str, port: int, method: str, path: str, content: Any) -> tuple[int, Any]:
    conn = HTTPConnection(ip, port, timeout=5.0)
    try:
        body = None if content is None else json.dumps(content).encode()
        conn.request(method, path, body, {"Content-Type": "application/json"})
        resp = conn.getresponse()
        data = resp.read()
    except HTTPException as exc:
        raise OSError(f"{type(exc).__name__}: {exc}") from exc
    finally:
        conn.close()
    return resp.status, json.loads(data) if data else None


def _render(template: str, values: dict[str, Any]) -> str:
    def replace(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        value = values[name]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


def _list_networks() -> Iterator[str]:
    numbers = list(range(60, 240))
    random.shuffle(numbers)
    return (f"127.{number}" for number in numbers)


def _find_network() -> str:
    for network in _list_networks():
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((f"{network}.0.1", STORE_PORT))
            return network
    raise OSError("every loopback network is in use")
