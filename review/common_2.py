"""Stand-ins of the platform for the scripts of the second review.

They need the standard library only: a store with its object calls, backend servers,
clients, and gateways that are started by the commands of the deploy file.
"""

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, NoReturn
from urllib.parse import parse_qs, unquote, urlsplit

HELD, BROKEN, NOT_RUN = 0, 1, 2
UNREADABLE = "<unreadable byte>"
UNREADABLE_BYTE = b"\x01"
ROOT = Path(__file__).resolve().parent.parent
HOST = "hulo84.example"
KEY = "nn2ctnfzs989anu6wsjn"
OTHER_KEY = "banfqasnmgkcuyj8pjbv"
STORE_PORT, SERVER_PORT = 8041, 9001
FRONT_PORT, READINESS_PORT, DIRECTORY_PORT = 8045, 8048, 8044
FIRST_NETWORK, LAST_NETWORK = 20, 120  # 127.N.0.0, a network for each script
START_TIMEOUT_S = 25.0
MAX_CASE_S = 118
HEARTBEAT_S = 1.5

has_trouble = os.environ.get("TROUBLE", "1") != "0"


def read_deploy_file() -> dict[str, Any]:
    """Return the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def find_network() -> str:
    """Return `127.N` of a loopback network on which nothing listens."""
    numbers = random.SystemRandom().sample(range(FIRST_NETWORK, LAST_NETWORK), 50)
    for number in numbers:
        probe = socket.socket()
        try:
            probe.bind((f"127.{number}.0.1", STORE_PORT))
        except OSError:
            continue
        finally:
            probe.close()
        return f"127.{number}"
    raise OSError("no loopback network is free")


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str, *, shown: bool = False) -> None:
        """Write one line, also to the standard output if it is to be shown."""
        line = f"{self.now_s():8.3f} {text}"
        with self._lock:
            self._file.write(f"{line}\n")
            self._file.flush()
        if shown:
            print(line, flush=True)


class Store:
    """Keep objects by kind and name; serve them on several addresses.

    Each address stands for the way of some machines to the store. On an address in
    `rejecting` every call gets 503, and waiting watches are cut off. `UNREADABLE` in a
    text stands for a byte that another writer has put there and that is sent as it is.
    """

    def __init__(
        self, addresses: list[str], *, history_changes: int | None = None
    ) -> None:
        """Serve on the addresses, with so many changes of history (None: all)."""
        self.rejecting: set[str] = set()
        self._history_changes = history_changes
        self._compacted = 0
        self._changed = threading.Condition()
        self._revision = 1
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        for address in addresses:
            ip, _, port = address.rpartition(":")
            server = _StoreServer((ip, int(port)), _StoreHandler)
            server.store, server.address = self, address
            threading.Thread(target=server.serve_forever, daemon=True).start()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object; it is confirmed on return."""
        with self._changed:
            old = self._objects.get((kind, name))
            if old is not None and old["Spec"] == spec:
                return
            self._store(kind, name, spec, old)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self._changed:
            obj = self._objects.pop((kind, name), None)
            if obj is not None:
                self._revision += 1
                meta = {**obj["Metadata"], "Revision": self._revision}
                removed = {**obj, "Metadata": meta}
                self._history.append((self._revision, kind, removed, True))
                self._changed.notify_all()

    def reject(self, address: str, *, is_rejected: bool) -> None:
        """Turn the machines that use an address away, or serve them again."""
        with self._changed:
            if is_rejected:
                self.rejecting.add(address)
            else:
                self.rejecting.discard(address)
            self._changed.notify_all()

    def answer(
        self, address: str, method: str, target: str, body: bytes
    ) -> tuple[int, Any] | None:
        """Return the status and content of an answer; None closes the connection."""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        names = [unquote(part) for part in parts.path.split("/")[3:] if part]
        kind, name = names[0], names[1] if len(names) > 1 else ""
        with self._changed:
            if address in self.rejecting:
                return 503, None
            if method == "GET" and "Watch" in query:
                return self._watch(address, kind, query)
            match method:
                case "GET" if name:
                    obj = self._objects.get((kind, name))
                    return (404, None) if obj is None else (200, obj)
                case "GET":
                    return 200, self._list(kind, query.get("after", ""))
                case "POST":
                    return self._create(kind, json.loads(body))
                case "PUT":
                    return self._replace(kind, name, json.loads(body))
                case _:
                    return 404, None

    def _watch(
        self, address: str, kind: str, query: dict[str, str]
    ) -> tuple[int, Any] | None:
        after = int(query["Watch"])
        end_s = time.monotonic() + int(query.get("WaitMs", "0")) / 1000.0
        if after < self._compacted:
            return 410, None
        while address not in self.rejecting:
            events = [
                {"Deleted": is_removed, "Object": obj}
                for revision, changed, obj, is_removed in self._history
                if changed == kind and revision > after
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "StoreRevision": self._revision}
            self._changed.wait(left_s)
        return None

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        items = [
            obj
            for (other, name), obj in sorted(self._objects.items())
            if other == kind and name > after
        ]
        return {"items": items, "HasMore": False, "StoreRevision": self._revision}

    def _create(self, kind: str, content: dict[str, Any]) -> tuple[int, Any]:
        name = content["Metadata"]["Name"]
        if (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        return 201, self._store(kind, name, content.get("Spec"), None)

    def _replace(
        self, kind: str, name: str, content: dict[str, Any]
    ) -> tuple[int, Any]:
        old = self._objects.get((kind, name))
        if old is None:
            return 404, None
        if content["Metadata"].get("Revision") not in (
            None,
            old["Metadata"]["Revision"],
        ):
            return 409, old
        return 200, self._store(kind, name, content.get("Spec"), old)

    def _store(
        self, kind: str, name: str, spec: Any, old: dict[str, Any] | None
    ) -> dict[str, Any]:
        self._revision += 1
        meta = {
            "Name": name,
            "Revision": self._revision,
            "Created": self._revision if old is None else old["Metadata"]["Created"],
            "Finalizers": [],
            "DeletionTimestamp": False,
        }
        obj = {"Metadata": meta, "Spec": spec, "Status": None}
        self._objects[kind, name] = obj
        self._history.append((self._revision, kind, obj, False))
        if self._history_changes is not None:
            while len(self._history) > self._history_changes:
                self._compacted = self._history.pop(0)[0]
        self._changed.notify_all()
        return obj


class _StoreServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    store: Store
    address: str

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore a connection that its gateway has closed."""


class _StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _StoreServer

    def _handle(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        server = self.server
        answer = server.store.answer(server.address, self.command, self.path, body)
        if answer is None:
            self.close_connection = True
            return
        status, content = answer
        data = b"" if content is None else json.dumps(content).encode()
        data = data.replace(UNREADABLE.encode(), UNREADABLE_BYTE)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = _handle  # noqa: N815

    def log_message(self, *_: Any) -> None:
        """Write no access log."""


class BackendServer:
    """Serve one service with the protocol of the platform's servers.

    `work_s` is the time that each request takes. `runs` gets the id, the time, the
    server and the tenant of each request that begins to run.
    """

    def __init__(
        self,
        *,
        ip: str,
        service: str,
        name: str,
        record: Record,
        runs: list[tuple[str, float, str, str]],
        work_s: Callable[[], float],
        zone: str = "eire-east-a",
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.address = f"{ip}:{SERVER_PORT}"
        self._record, self._runs, self._work_s = record, runs, work_s
        self._born_ms = int(time.time() * 1000)
        self._listener = socket.create_server((ip, SERVER_PORT), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        """Return the entry under which the server registers itself."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 3,
            "State": "ready",
            "WarmupLeft": "0ms",
            "Seq": 1,
            "born": self._born_ms,
        }

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn, contextlib.suppress(OSError):
            data = b""
            while True:
                head, data = read_until(conn, data, b"\r\n\r\n")
                if head is None:
                    return
                fields = parse_fields(head)
                body, data = read_exactly(
                    conn, data, int(fields.get("content-length", "0"))
                )
                if body is None:
                    return
                conn.sendall(self._answer(fields))

    def _answer(self, fields: dict[str, str]) -> bytes:
        request_id = fields.get("snipespring-request-id", "")
        if fields.get("snipespring-expect-instance", self.name) != self.name:
            return _make_answer(421, {"Snipespring-Instance-Id": self.name}, b"")
        tenant = fields.get("snipespring-tenant", "")
        self._runs.append((request_id, self._record.now_s(), self.name, tenant))
        self._record.write(f"run {request_id} at {self.name} tenant={tenant or '-'}")
        time.sleep(self._work_s())
        seal = {
            "Snipespring-Request-Id": request_id,
            "Snipespring-Server-Seal": f"3e1b.{self.name}",
        }
        return _make_answer(200, seal, f"done by {self.name}".encode())


def _make_answer(status: int, fields: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def parse_fields(head: bytes) -> dict[str, str]:
    """Return the header fields of a head, with names in lower case."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def read_until(
    conn: socket.socket, data: bytes, mark: bytes
) -> tuple[bytes | None, bytes]:
    """Return what comes before a mark, None at the end, and what comes behind it."""
    while mark not in data:
        part = conn.recv(65536)
        if not part:
            return None, data
        data += part
    head, _, rest = data.partition(mark)
    return head, rest


def read_exactly(
    conn: socket.socket, data: bytes, size: int
) -> tuple[bytes | None, bytes]:
    """Return so many bytes, None at the end, and what comes behind them."""
    while len(data) < size:
        part = conn.recv(65536)
        if not part:
            return None, data
        data += part
    return data[:size], data[size:]


class Reply:
    """Describe what a client saw: a status, or the kind of failure as `problem`."""

    def __init__(self, *, status: int, fields: dict[str, str], problem: str) -> None:
        self.status, self.fields, self.problem = status, fields, problem

    def __str__(self) -> str:
        return str(self.status) if self.status else self.problem


def send_request(
    address: str,
    method: str,
    path: str,
    *,
    request_id: str,
    deadline_s: float,
    key: str | None = None,
    body: bytes = b"",
) -> Reply:
    """Send one request on a new connection and wait until its deadline."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Snipespring-Request-Id: {request_id}",
        f"Snipespring-Deadline-Ms: {int(deadline_s * 1000)}",
    ]
    if key is not None:
        lines.append(f"Snipespring-Credential: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    ip, _, port = address.rpartition(":")
    try:
        conn = socket.create_connection((ip, int(port)), timeout=1.0)
    except OSError:
        return Reply(status=0, fields={}, problem="no connection")
    with conn:
        conn.settimeout(deadline_s)
        try:
            conn.sendall("\r\n".join([*lines, "", ""]).encode() + body)
            head, rest = read_until(conn, b"", b"\r\n\r\n")
            if head is None:
                return Reply(status=0, fields={}, problem="closed without an answer")
            fields = parse_fields(head)
            size = int(fields.get("content-length", "0"))
            content, _ = read_exactly(conn, rest, size)
        except TimeoutError:
            return Reply(status=0, fields={}, problem="deadline")
        except OSError as exc:
            return Reply(status=0, fields={}, problem=f"cut: {type(exc).__name__}")
    if content is None:
        return Reply(status=0, fields={}, problem="closed within the answer")
    status = int(head.split(b" ")[1])
    return Reply(status=status, fields=fields, problem="")


def make_id() -> str:
    """Return a new request id."""
    return uuid.uuid4().hex[:16]


class Gateways:
    """Start, signal and end gateways, by the commands of the deploy file."""

    def __init__(
        self,
        *,
        network: str,
        record: Record,
        zones: list[str],
        keeps_logs: bool = True,
    ) -> None:
        self.network, self._record, self._zones = network, record, zones
        self._keeps_logs = keeps_logs
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: list[subprocess.Popen[bytes]] = []

    def ip(self, index: int) -> str:
        """Return the address of a machine."""
        return f"{self.network}.1.{index + 1}"

    def front(self, index: int) -> str:
        """Return the address for clients."""
        return f"{self.ip(index)}:{FRONT_PORT}"

    def write_settings(
        self, index: int, *, store: str, bounds: dict[str, str], rewrite: bool = False
    ) -> None:
        """Write a settings file with what the template holds on a small deployment."""
        ip, zone = self.ip(index), self._zones[index]
        sections: dict[str, dict[str, Any]] = {
            "host": {
                "id": f"front-{zone}-{index + 1}",
                "domain": zone,
                "region": "eire-east",
                "bootstrap": False,
            },
            "listen": {
                "callers": f"{ip}:{FRONT_PORT}",
                "readiness": f"{ip}:{READINESS_PORT}",
                "directory": f"{ip}:{DIRECTORY_PORT}",
                "peers": f"{ip}:7100",
                "operators": f"{ip}:7115",
            },
            "platform": {
                "store": store,
                "revoke": bounds["Revoke"],
                "apply": "2000ms",
                "drain": "2000ms",
                "evacuate": None,
            },
            "limits": {"window": "5s", "overshoot": 0.1, "slack": 20},
            "retries": {"share": 0.2, "slack": 56, "window": "10s"},
            "servers": {
                "floor": 0.7,
                "warmup_overshoot": None,
                "warmup_slack": None,
            },
            "stop": {"grace": bounds["Grace"]},
            "regions": dict.fromkeys(sorted(set(self._zones)), "eire-east"),
        }
        text = "callers:\n  memory: 300MiB\n  descriptors: 4100\n  cpu_share: 0.86\n"
        text += "  cores: 1\n  link_mbps: 1000.0\n"
        for section, fields in sections.items():
            text += f"{section}:\n"
            for name, value in fields.items():
                shown = "" if value is None else json.dumps(value)
                text += f"  {json.dumps(name)}: {shown}\n"
        path = self._settings_path(index)
        # A new file replaces the old one at once, so that no process reads a part.
        new = path.with_suffix(".new")
        new.write_text(text)
        new.replace(path)
        if rewrite:
            self._record.write(f"settings of gateway {index} changed: {bounds}")

    def start(self, index: int) -> None:
        """Start a gateway by the `run` line of the deploy file."""
        role = read_deploy_file()["roles"]["gateway"]
        program, *arguments = role["run"].split()
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}",
            "SNIPESPRING_SETTINGS": str(self._settings_path(index)),
            "SNIPESPRING_HEARTBEAT": f"{int(HEARTBEAT_S * 1000)}ms",
        }
        # The same interpreter as this one, so that the packages fit it.
        program = sys.executable if program == "python3" else program
        path = self._folder / f"gateway-{index}.log"
        with (path if self._keeps_logs else Path(os.devnull)).open("ab") as log:
            process = subprocess.Popen(
                [program, *arguments], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        if index < len(self._processes):
            self._processes[index] = process
        else:
            self._processes.append(process)
        self._record.write(f"gateway {index} started, pid {process.pid}")

    def wait_until_ready(self) -> bool:
        """Wait until every gateway says that it is ready."""
        end_s = time.monotonic() + START_TIMEOUT_S
        left = set(range(len(self._processes)))
        while left and time.monotonic() < end_s:
            left -= {index for index in left if self.is_ready(index)}
            time.sleep(0.1)
        return not left

    def is_ready(self, index: int) -> bool:
        """Return what a gateway answers to the platform's readiness check."""
        address = f"{self.ip(index)}:{READINESS_PORT}"
        reply = send_request(
            address, "GET", "/v1/ready", request_id=make_id(), deadline_s=1.0
        )
        return reply.status == 200

    def signal(self, index: int, number: signal.Signals) -> None:
        """Send a signal to a gateway."""
        self._record.write(f"{number.name} to gateway {index}", shown=True)
        self._processes[index].send_signal(number)

    def has_ended(self, index: int) -> bool:
        """Return whether a gateway's process has ended."""
        return self._processes[index].poll() is not None

    def read_memory_mib(self, index: int) -> float:
        """Return the resident memory of a gateway, 0 if it has ended."""
        try:
            path = Path(f"/proc/{self._processes[index].pid}/status")
            lines = path.read_text().splitlines()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in lines if line.startswith("VmRSS")]
        return int(sizes[0]) / 1024 if sizes else 0.0

    def kill(self, index: int) -> None:
        """Kill a gateway and wait for its end."""
        self._processes[index].kill()
        self._processes[index].wait()

    def log_text(self, index: int) -> str:
        """Return what a gateway has logged."""
        return (self._folder / f"gateway-{index}.log").read_text(errors="replace")

    def close(self) -> None:
        """End all gateways and remove the temporary folder."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    def _settings_path(self, index: int) -> Path:
        return self._folder / f"gateway-{index}.yaml"


def make_route(path: str, kind: str, service: str, *, is_open: bool) -> dict[str, Any]:
    """Return a route with the figures of the sheet of a small deployment."""
    return {
        "Host": HOST,
        "PathPrefix": path,
        "Kind": kind,
        "Timeout": "2500ms",
        "TargetLatency": "1000ms",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "AuthExempt": is_open,
    }


def make_configuration(
    version: int, routes: dict[str, dict[str, Any]], keys: list[str]
) -> dict[str, Any]:
    """Return the content of `config/main`."""
    services = sorted({route["Service"] for route in routes.values()})
    return {
        "Version": f"{version:08x}",
        "Routes": routes,
        "Services": {
            name: {
                "HealthPath": "/health",
                "MaxConns": 330,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in services
        },
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
        "Tenants": {
            "cuka620": {
                "ApiKeys": keys,
                "Priority": 1,
                "RatePerS": 200,
                "Burst": 200,
            }
        },
    }


def run_case(path: Path, play: Callable[[Record], int]) -> NoReturn:
    """Play a case, write its record to `path`, and end with its exit code.

    The case could not run if it raises, is ended by SIGTERM or SIGINT, or takes longer
    than `MAX_CASE_S`; the processes that it started are ended then too.
    """
    record = Record(path)
    record.write(f"TROUBLE={int(has_trouble)}", shown=True)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _end_case)
    signal.alarm(MAX_CASE_S)
    try:
        code = play(record)
    except BaseException as exc:
        record.write(f"the case could not run: {exc!r}", shown=True)
        code = NOT_RUN
    names = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}
    record.write(f"result: {names[code]}", shown=True)
    # Threads of clients and servers may still wait; none of them has to be waited for.
    os._exit(code)


def _end_case(number: int, _frame: object) -> NoReturn:
    raise SystemExit(f"ended by {signal.Signals(number).name}")
