"""Let a faulty server spoil answers by a field of blanks that ends in a NUL byte."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common_2 as common  # noqa: E402

FAULTY_SERVICE, OTHER_SERVICE = "histories", "ledger"
SERVERS = 6  # of each service
FAULTY_SERVERS = 3  # half of the servers of one service
SPOILED_EVERY = 50  # one in fifty answers of a faulty server
BLANKS = 12000  # the whole head stays below 16 KB
WORK_S = 0.05
TIMEOUT_S = 2.5  # of the routes
DEADLINE_S = 5.0
PAUSE_S = 0.05
TROUBLE_S = 30.0
GATEWAYS = 2
GRACE_S = 6.0


class Spoiler:
    """Spoil every `SPOILED_EVERY`th answer while it is on."""

    def __init__(self, record: common.Record) -> None:
        self._record = record
        self._lock = threading.Lock()
        self._answers = 0
        self.is_on = False
        self.spoiled = 0

    def spoil(self, request_id: str, answer: bytes) -> bytes:
        """Return the answer, perhaps with a spoiled field in its head."""
        with self._lock:
            self._answers += 1
            if not self.is_on or self._answers % SPOILED_EVERY:
                return answer
            self.spoiled += 1
        self._record.write(f"answer to {request_id} is spoiled", shown=True)
        status_line, _, rest = answer.partition(b"\r\n")
        return status_line + b"\r\nX-Note: " + b" " * BLANKS + b"\x00\r\n" + rest


class FaultyServer(common.BackendServer):
    """Serve as other servers do, but for the answers that are spoiled."""

    spoiler: Spoiler

    def _answer(self, fields: dict[str, str]) -> bytes:
        answer = super()._answer(fields)
        return self.spoiler.spoil(fields.get("snipespring-request-id", ""), answer)


class Traffic:
    """Send requests of both services to one gateway."""

    def __init__(self, record: common.Record, address: str) -> None:
        self._record, self._address = record, address
        self.done: list[tuple[str, str, float, common.Reply, float]] = []

    def run(self, stopping: threading.Event) -> None:
        """Send a request every `PAUSE_S` seconds, without waiting for its answer."""
        threads, number = [], 0
        while not stopping.wait(PAUSE_S):
            number += 1
            service = OTHER_SERVICE if number % 4 == 0 else FAULTY_SERVICE
            threads.append(threading.Thread(target=self._send, args=(service,)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _send(self, service: str) -> None:
        request_id, sent_s = common.make_id(), self._record.now_s()
        self._record.write(f"sent {request_id} for {service} to {self._address}")
        reply = common.send_request(
            self._address,
            "GET",
            f"/{service}/a",
            request_id=request_id,
            deadline_s=DEADLINE_S,
        )
        self._record.write(f"answered {request_id} {reply}")
        end_s = self._record.now_s()
        self.done.append((request_id, service, sent_s, reply, end_s))


def play(record: common.Record) -> int:
    """Return whether requests stay unanswered after their routes' `Timeout`."""
    network = common.find_network()
    store_address = f"{network}.0.1:{common.STORE_PORT}"
    store = common.Store([store_address])
    routes = {
        name: common.make_route(f"/{name}/", "safe", name, is_open=True)
        for name in (FAULTY_SERVICE, OTHER_SERVICE)
    }
    store.put("config", "main", common.make_configuration(1, routes, [common.KEY]))
    FaultyServer.spoiler = Spoiler(record)
    runs: list[tuple[str, float, str, str]] = []
    for number in range(1, 2 * SERVERS + 1):
        kind = FaultyServer if number <= FAULTY_SERVERS else common.BackendServer
        server = kind(
            ip=f"{network}.2.{number}",
            service=FAULTY_SERVICE if number <= SERVERS else OTHER_SERVICE,
            name=f"i-{number}",
            record=record,
            runs=runs,
            work_s=lambda: WORK_S,
        )
        store.put("servers", server.name, server.entry())
    zones = ["eire-east-a"] * GATEWAYS
    gateways = common.Gateways(network=network, record=record, zones=zones)
    try:
        bounds = {"Grace": f"{GRACE_S:g}s", "Revoke": "5000ms"}
        for index in range(GATEWAYS):
            gateways.write_settings(index, store=store_address, bounds=bounds)
            gateways.start(index)
        if not gateways.wait_until_ready():
            return common.NOT_RUN
        return _send_requests(record, gateways, FaultyServer.spoiler)
    finally:
        gateways.close()


def _send_requests(
    record: common.Record, gateways: common.Gateways, spoiler: Spoiler
) -> int:
    stopping = threading.Event()
    traffic = [Traffic(record, gateways.front(index)) for index in range(GATEWAYS)]
    threads = [threading.Thread(target=part.run, args=(stopping,)) for part in traffic]
    for thread in threads:
        thread.start()
    time.sleep(3.0)
    before = sum(reply.status == 200 for part in traffic for *_, reply, _ in part.done)
    if not before:
        stopping.set()
        return common.NOT_RUN
    spoiler.is_on = common.has_trouble
    time.sleep(TROUBLE_S)
    stopping.set()
    for thread in threads:
        thread.join()
    unanswered, too_late = 0, 0
    for index, part in enumerate(traffic):
        for request_id, service, sent_s, reply, end_s in part.done:
            waited_s = end_s - sent_s
            if waited_s < TIMEOUT_S:
                continue
            unanswered += 1
            if reply.status == 0 or waited_s > TIMEOUT_S + 0.5:
                too_late += 1
                record.write(
                    f"CONFIG {request_id} for {service} at gateway {index}: "
                    f"{reply} after {waited_s:.2f} s, Timeout is {TIMEOUT_S:g} s"
                )
        is_ready = gateways.is_ready(index)
        record.write(f"gateway {index} says it is ready: {is_ready}", shown=True)
    _stop_all(record, gateways)
    total = sum(len(part.done) for part in traffic)
    record.write(
        f"{total} sent, {spoiler.spoiled} answers spoiled; {unanswered} unanswered at "
        f"their Timeout, {too_late} of them 0.5 s later too",
        shown=True,
    )
    return common.BROKEN if too_late > unanswered / 2 else common.HELD


def _stop_all(record: common.Record, gateways: common.Gateways) -> None:
    for index in range(GATEWAYS):
        gateways.signal(index, common.signal.SIGTERM)
    time.sleep(GRACE_S)
    for index in range(GATEWAYS):
        has_ended = gateways.has_ended(index)
        record.write(f"gateway {index} ended within Grace: {has_ended}", shown=True)


if __name__ == "__main__":
    common.run_case(Path(sys.argv[1]), play)
