import hashlib
import threading
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.harness import Answer, Fleet, FleetPlan, call, find_free_network

NETWORK = find_free_network()
API_KEY = "the-test-key-of-dealers"
RATE_PER_S = 50
BURST = 20
LOAD_DURATION_S = 4.0
RULES = (
    "service ledger floor=60% deadline=1s  # Aoife",
    *(
        f"server ledger {NETWORK}.2.{n}:9001 domain=domain-{n - 1}  # Aoife"
        for n in (1, 2, 3)
    ),
    "route GET /ledger service=ledger  # Aoife",
    f"organisation dealers rate={RATE_PER_S}/s burst={BURST}  # Aoife",
    f"key dealers sha256:{hashlib.sha256(API_KEY.encode()).hexdigest()}  # Aoife",
)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    folder: Path = tmp_path_factory.mktemp("limits")
    plan = FleetPlan(network=NETWORK, rules=RULES, address_lifetime="300ms")
    with Fleet(plan=plan, folder=folder) as running:
        yield running


def send_continuously(
    fleet: Fleet, indexes: list[int], path: str
) -> tuple[list[Answer], float]:
    """Send requests from one thread a host entry; return answers and seconds."""
    answers: list[Answer] = []
    started_s = time.monotonic()

    def send(index: int) -> None:
        while time.monotonic() < started_s + LOAD_DURATION_S:
            answer = call(
                fleet.caller_address(index), "GET", path, headers={"Api-Key": API_KEY}
            )
            answers.append(answer)

    threads = [threading.Thread(target=send, args=(index,)) for index in indexes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers, time.monotonic() - started_s


def count_runs(fleet: Fleet, path: str) -> int:
    return sum(run["path"].startswith(path) for run in fleet.fetch_runs())


def test_three_hosts_together_stay_within_the_rate(fleet: Fleet) -> None:
    answers, elapsed_s = send_continuously(fleet, [0, 1, 2] * 2, "/ledger/even")
    statuses = Counter(answer.status for answer in answers)
    ran = count_runs(fleet, "/ledger/even")
    assert ran == statuses[200]
    assert ran <= BURST + RATE_PER_S * elapsed_s
    refused = [answer for answer in answers if answer.status == 429]
    assert refused
    assert all(
        answer.headers["snipespring-outcome"] == "not-run"
        and float(answer.headers["retry-after"]) > 0
        for answer in refused
    )


def test_a_single_busy_host_gets_more_than_a_third_of_the_rate(fleet: Fleet) -> None:
    _, elapsed_s = send_continuously(fleet, [0] * 6, "/ledger/single")
    ran = count_runs(fleet, "/ledger/single")
    assert ran <= BURST + RATE_PER_S * elapsed_s
    assert ran > (BURST + RATE_PER_S * elapsed_s) / 3
