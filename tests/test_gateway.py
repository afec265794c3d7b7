"""Test gateway processes against stand-ins of the platform."""

import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread
from typing import Any

import pytest
import yaml
from attrs import define, field

from standins.harness import Answer, call, find_free_network, wait_until
from standins.http import start_server
from standins.store import NoFault, RejectedCalls, StoreApplication
from standins.store.records import CreateObject, ObjectKey, ReplaceObject

EXIT_TIMEOUT_S = 30.0
API_KEY = "nn2ctnfzs989anu6wsjn"
ROUTE = {
    "Host": "hulo84.example",
    "PathPrefix": "/a/",
    "Kind": "safe",
    "Timeout": "2s",
    "TargetLatency": "1s",
    "Priority": 1,
    "Service": "ledger",
    "MaxAttempts": 2,
    "AuthExempt": False,
}


class ServerHandler(BaseHTTPRequestHandler):
    """Answer like a backend server of the platform and record each request."""

    protocol_version = "HTTP/1.1"
    received: list[dict[str, str]] = []

    def do_GET(self) -> None:  # noqa: N802
        self.received.append({"target": self.path, **dict(self.headers.items())})
        body = b"whole"
        self.send_response(200)
        self.send_header("Snipespring-Server-Seal", "3e1b")
        request_id = self.headers["Snipespring-Request-Id"]
        self.send_header("Snipespring-Request-Id", request_id)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: Any) -> None:
        return


def make_configuration(version: int, keys: list[str]) -> dict[str, Any]:
    return {
        "Version": f"{version:08x}",
        "Routes": {"r": ROUTE},
        "Services": {"ledger": {"HealthPath": "/health", "MaxConns": 330}},
        "Limits": {},
        "Tenants": {"cuka620": {"ApiKeys": keys, "RatePerS": 100, "Burst": 100}},
    }


@define(kw_only=True, eq=False)
class Platform:
    """Run a store, a backend server and gateways on one loopback network."""

    folder: Path
    network: str = field(factory=find_free_network)
    app: StoreApplication = field(factory=StoreApplication)
    processes: list[subprocess.Popen[bytes]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        start_server(listen=f"{self.network}.0.1:8500", app=self.app)
        server = ThreadingHTTPServer((f"{self.network}.2.1", 9001), ServerHandler)
        Thread(target=server.serve_forever, daemon=True).start()
        self._create("config", "main", make_configuration(1, [API_KEY]))
        entry = {
            "Service": "ledger",
            "Address": f"{self.network}.2.1:9001",
            "Zone": "a",
            "Slots": 3,
            "State": "ready",
            "WarmupLeft": "0ms",
            "born": 1767390266000,
        }
        self._create("servers", "i-1", entry)

    def _create(self, kind: str, name: str, spec: Any) -> None:
        self.app.controller.call(
            CreateObject(key=ObjectKey(kind=kind, name=name), spec=spec)
        )

    def configure(self, version: int, keys: list[str]) -> None:
        key = ObjectKey(kind="config", name="main")
        content = make_configuration(version, keys)
        self.app.controller.call(ReplaceObject(key=key, content=content))

    def ip(self, index: int) -> str:
        return f"{self.network}.1.{index + 1}"

    def start_gateway(self, index: int) -> None:
        """Start a host and wait until it is ready."""
        self.launch_gateway(index)
        wait_until(lambda: self.is_ready(index), f"host {index}")

    def launch_gateway(self, index: int) -> None:
        """Start the process of a host."""
        ip, path = self.ip(index), self.folder / f"host-{index}.yaml"
        settings = {
            "host": {"id": f"host-{index}", "domain": "a", "region": "r"},
            "listen": {
                "callers": f"{ip}:8080",
                "readiness": f"{ip}:8081",
                "directory": f"{ip}:8082",
                "peers": f"{ip}:7100",
                "operators": f"{ip}:7101",
            },
            "platform": {"store": f"{self.network}.0.1:8500"},
        }
        path.write_text(yaml.safe_dump(settings))
        with (self.folder / f"host-{index}.log").open("wb") as log:
            command = [sys.executable, "-m", "snipespring", "gateway"]
            self.processes.append(
                subprocess.Popen([*command, "-s", str(path)], stdout=log, stderr=log)
            )

    def is_ready(self, index: int) -> bool:
        return call(f"{self.ip(index)}:8081", "GET", "/v1/ready").status == 200

    def send(self, index: int, path: str, key: str = API_KEY) -> Answer:
        headers = {
            "Host": "hulo84.example",
            "Snipespring-Request-Id": "9c41d07be2a35f68",
            "Snipespring-Deadline-Ms": "2000",
            "Snipespring-Credential": key,
        }
        return call(f"{self.ip(index)}:8080", "GET", path, headers=headers)

    def fetch_offered_addresses(self, index: int) -> set[str]:
        path = "/v1/resolve?Name=hulo84.example&Zone=a"
        content = call(f"{self.ip(index)}:8082", "GET", path).json()
        return set(content["Addresses"])


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    running = Platform(folder=tmp_path)
    yield running
    running.app.controller.set_fault(NoFault())
    for process in running.processes:
        process.kill()
        process.wait()


def test_request_is_forwarded_unchanged_for_its_organisation(
    platform: Platform,
) -> None:
    platform.start_gateway(0)
    ServerHandler.received.clear()
    answer = platform.send(0, "/a/%2Fb//c?x=%41&&y=")
    assert (answer.status, answer.body) == (200, b"whole")
    assert answer.headers["snipespring-server-seal"] == "3e1b"
    received = ServerHandler.received[-1]
    assert received["target"] == "/a/%2Fb//c?x=%41&&y="
    assert received["Snipespring-Tenant"] == "cuka620"
    assert received["Snipespring-Expect-Instance"] == "i-1"
    assert received["Host"] == "hulo84.example"
    assert 0 < int(received["Snipespring-Deadline-Ms"]) <= 2000
    assert "Snipespring-Credential" not in received
    assert API_KEY not in json.dumps(received)
    assert platform.send(0, "/none/").status == 404
    assert platform.send(0, "/a/b", key="unknown-key-of-nobody").status == 401


def test_revoked_key_is_rejected_and_store_failure_ends_the_lease(
    platform: Platform,
) -> None:
    platform.start_gateway(0)
    platform.configure(2, ["another-key-of-cuka620"])
    wait_until(
        lambda: platform.send(0, "/a/b").status == 401, "the revoked key to be rejected"
    )
    platform.app.controller.set_fault(RejectedCalls())
    new_key = "another-key-of-cuka620"
    wait_until(
        lambda: platform.send(0, "/a/b", key=new_key).status == 503, "the lease to end"
    )
    assert not platform.is_ready(0)
    platform.app.controller.set_fault(NoFault())
    wait_until(
        lambda: platform.send(0, "/a/b", key=new_key).status == 200, "a new lease"
    )


def test_a_host_says_what_it_waits_for_until_it_is_ready(platform: Platform) -> None:
    # Guards against a host that is never ready without a word on why.
    platform.app.controller.set_fault(RejectedCalls())
    platform.launch_gateway(0)
    ready = f"{platform.ip(0)}:8081"
    wait_until(lambda: call(ready, "GET", "/v1/ready").status == 503, "an answer")
    reasons = call(ready, "GET", "/v1/ready").json()["Reasons"]
    assert "no configuration" in reasons
    wait_until(
        lambda: list_readiness_states(platform, 0) == ["not ready"], "the first event"
    )
    platform.app.controller.set_fault(NoFault())
    wait_until(lambda: list_readiness_states(platform, 0)[-1:] == ["ready"], "the host")
    assert platform.is_ready(0)


def list_readiness_states(platform: Platform, index: int) -> list[str]:
    events = call(f"{platform.ip(index)}:7101", "GET", "/events").json()
    return [event["state"] for event in events if event["kind"] == "ReadinessStep"]


def test_hosts_offer_each_other_until_one_stops(platform: Platform) -> None:
    for index in range(2):
        platform.start_gateway(index)
    both = {f"{platform.ip(index)}:8080" for index in range(2)}
    wait_until(
        lambda: platform.fetch_offered_addresses(0) == both, "both hosts to be offered"
    )
    stopping_process = platform.processes[1]
    stopping_process.send_signal(signal.SIGTERM)
    remaining = {f"{platform.ip(0)}:8080"}
    wait_until(
        lambda: platform.fetch_offered_addresses(0) == remaining,
        "the stopping host to be withdrawn",
    )
    assert not platform.is_ready(1)
    assert platform.send(1, "/a/b").status == 200
    assert stopping_process.wait(EXIT_TIMEOUT_S) == 0


def test_withdrawn_key_stays_withdrawn_when_the_store_returns_from_a_backup(
    platform: Platform,
) -> None:
    # Guards against a restored store whose older configuration and server entries take
    # effect again, on hosts that ran on and on one that starts during the restore.
    controller, new_key = platform.app.controller, "another-key-of-cuka620"
    platform.start_gateway(0)
    controller.back_up()
    platform.start_gateway(1)
    platform.configure(2, [new_key])
    for index in range(2):
        wait_until(
            lambda index=index: platform.send(index, "/a/b").status == 401,
            "the key to be withdrawn",
        )
    calls = controller.state().counts
    controller.restore()
    platform.launch_gateway(2)
    for _ in range(20):
        statuses = {platform.send(index, "/a/b").status for index in range(2)}
        assert statuses <= {401, 503}

    def is_refused(index: int) -> bool:
        status = platform.send(index, "/a/b").status
        assert status in (401, 503)
        return status == 503

    # The started host has only the older version, which its hub does not confirm.
    wait_until(lambda: is_refused(2), "the started host to be up")
    wait_until(
        lambda: is_refused(2) and not platform.is_ready(0),
        "the older version to end the lease",
    )
    assert is_refused(2)
    assert not platform.is_ready(2)
    platform.configure(2, [new_key])
    for index in range(3):
        wait_until(
            lambda index=index: platform.send(index, "/a/b", new_key).status == 200,
            "the configuration to be confirmed again",
        )
        assert platform.send(index, "/a/b").status == 401
    made = controller.state().counts
    assert made.writes - calls.writes <= 4
    lost = ObjectKey(kind="snipespring-hosts", name="host-1")
    wait_until(
        lambda: lost in controller.state().objects, "the lost host to register again"
    )
