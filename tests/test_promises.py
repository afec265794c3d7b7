"""Compare what a gateway process says of requests with what faulty servers ran."""

import random
import re
import socket
import threading
import time
import uuid
from collections.abc import Iterator
from pathlib import Path

import pytest
from attrs import define, field

from standins.harness import Answer
from tests.gateway_fleet import GatewayFleet, ReceivedRequest

CALLERS = 8
REQUESTS_PER_CALLER = 200
SEEDS = (1, 2, 3)
PROMISES = frozenset({408, 421, 429, 503})
HEAD_END = b"\r\n\r\n"
MARK = "Snipespring-Not-Executed: 1"
BODY = b"whole"


def make_answer(rng: random.Random, status: int, fields: list[str]) -> bytes:
    rng.shuffle(fields)
    length = len(BODY) if status == 200 else 0
    lines = [f"HTTP/1.1 {status} Said", *fields, f"Content-Length: {length}"]
    return "\r\n".join(lines).encode() + HEAD_END + BODY[:length]


def list_cuts(answer: bytes, rng: random.Random) -> list[int]:
    """Return its size, a random one, and where the value of a field begins."""
    head = answer.partition(HEAD_END)[0]
    in_fields = [found.end() for found in re.finditer(b": ", head)]
    return [len(answer), rng.randrange(len(answer)), *in_fields]


@define(kw_only=True, eq=False)
class FaultyServers:
    """Run, refuse or fail requests, and repeat earlier answers whole or in part."""

    rng: random.Random
    ran: list[str] = field(factory=list)
    earlier: dict[socket.socket, list[bytes]] = field(factory=dict)
    lock: threading.Lock = field(factory=threading.Lock)

    def answer(self, conn: socket.socket, req: ReceivedRequest) -> bool:
        with self.lock:
            parts = self._draw_parts(conn, req)
        for part in parts:
            conn.sendall(part)
            time.sleep(0.002)
        return True

    def _draw_parts(self, conn: socket.socket, req: ReceivedRequest) -> list[bytes]:
        rng, earlier = self.rng, self.earlier.setdefault(conn, [])
        content = self._draw_answer(req)
        before = b""
        if earlier and rng.random() < 0.4:
            copy = rng.choice(earlier)
            before = copy[: rng.choice(list_cuts(copy, rng))]
        earlier.append(content)
        if rng.random() < 0.5:
            return [before + content]
        cut = rng.randrange(len(content))
        return [before, content[:cut], content[cut:]]

    def _draw_answer(self, req: ReceivedRequest) -> bytes:
        echo = f"Snipespring-Request-Id: {req.request_id}"
        if self.rng.random() < 0.4:
            status = self.rng.choice([503, 429, 421])
            fields = [echo, MARK, "Snipespring-Instance-Id: i-9"]
            return make_answer(self.rng, status, fields)
        self.ran.append(req.request_id)
        status = self.rng.choice([200, 200, 500])
        return make_answer(self.rng, status, [echo, "Snipespring-Server-Seal: 3e1b"])


@pytest.fixture(params=SEEDS)
def servers(request: pytest.FixtureRequest) -> FaultyServers:
    return FaultyServers(rng=random.Random(request.param))


@pytest.fixture
def fleet(tmp_path: Path, servers: FaultyServers) -> Iterator[GatewayFleet]:
    running = GatewayFleet(folder=tmp_path, kinds={"ledger": "unsafe"})
    for _ in range(3):
        running.add_server("ledger", servers.answer)
    running.start_gateway()
    yield running
    running.close()


def test_servers_that_repeat_parts_of_answers_cause_no_false_promise(
    fleet: GatewayFleet, servers: FaultyServers
) -> None:
    # Guards against 503 for a request that ran, and against a second run (REFUSED).
    answers: dict[str, Answer] = {}

    def call() -> None:
        for _ in range(REQUESTS_PER_CALLER):
            request_id = uuid.uuid4().hex
            answer = fleet.send("POST", "/ledger/x", request_id)
            assert answer is not None
            answers[request_id] = answer

    threads = [threading.Thread(target=call) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refused = {name for name, got in answers.items() if got.status in PROMISES}
    served = {name for name, got in answers.items() if got.status == 200}
    assert len(answers) == CALLERS * REQUESTS_PER_CALLER
    assert refused
    assert served
    assert refused.isdisjoint(servers.ran)
    assert served <= set(servers.ran)
    assert len(set(servers.ran)) == len(servers.ran)
    assert all(answers[name].body == BODY for name in served)
