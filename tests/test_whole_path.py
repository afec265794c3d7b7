import hashlib
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.harness import (
    Answer,
    Fleet,
    FleetPlan,
    call,
    find_free_network,
    wait_until,
)

NETWORK = find_free_network()
API_KEY = "the-test-key-of-valeters"
RULES = (
    "service ledger floor=60% deadline=1s  # Aoife",
    *(
        f"server ledger {NETWORK}.2.{n}:9001 domain=domain-{n - 1}  # Aoife"
        for n in (1, 2, 3)
    ),
    "route GET /ledger service=ledger  # Aoife",
    "route POST /ledger service=ledger run=once  # Aoife",
    "route GET /open service=ledger access=open  # Aoife",
    "organisation valeters rate=900/s burst=900  # Aoife",
    f"key valeters sha256:{hashlib.sha256(API_KEY.encode()).hexdigest()}  # Aoife",
)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    folder: Path = tmp_path_factory.mktemp("fleet")
    plan = FleetPlan(network=NETWORK, rules=RULES, address_lifetime="300ms")
    with Fleet(plan=plan, folder=folder) as running:
        yield running


def send_request(
    fleet: Fleet, method: str, path: str, body: bytes | None = None
) -> Answer:
    return call(
        fleet.caller_address(0), method, path, body=body, headers={"Api-Key": API_KEY}
    )


def test_offered_addresses_span_two_domains(fleet: Fleet) -> None:
    offers = send_request(fleet, "GET", "/addresses").json()["addresses"]
    assert len({offer["domain"] for offer in offers}) >= 2


@pytest.mark.parametrize("size", [1024, 1024 * 1024])
def test_bodies_are_returned_unchanged(fleet: Fleet, size: int) -> None:
    body = bytes(range(256)) * (size // 256)
    answer = send_request(fleet, "POST", "/ledger/notes", body)
    assert answer.status == 200
    assert answer.headers["snipespring-outcome"] == "ran"
    assert answer.json()["body_sha256"] == hashlib.sha256(body).hexdigest()
    fetched = send_request(fleet, "GET", f"/ledger/notes?size={size}")
    assert len(fetched.body) == size


def test_backend_receives_the_organisation_but_never_the_key(fleet: Fleet) -> None:
    answer = send_request(fleet, "GET", f"/ledger/x?api_key={API_KEY}&a=1").json()
    assert answer["organisation"] == "valeters"
    assert API_KEY not in str(answer)


def test_missing_key_is_rejected_as_not_run(fleet: Fleet) -> None:
    answer = call(fleet.caller_address(0), "GET", "/ledger/x")
    assert answer.status == 401
    assert answer.headers["snipespring-outcome"] == "not-run"


def test_open_route_needs_no_key(fleet: Fleet) -> None:
    assert call(fleet.caller_address(0), "GET", "/open").status == 200


def test_revoked_key_is_rejected_on_every_host(fleet: Fleet) -> None:
    assert fleet.apply_rules(RULES[:-1]) == 0
    for index in range(3):
        address = fleet.caller_address(index)
        wait_until(
            lambda address=address: (  # type: ignore[misc]
                call(address, "GET", "/ledger", headers={"Api-Key": API_KEY}).status
                == 401
            ),
            "the withdrawal",
        )
    assert fleet.apply_rules(RULES) == 0
    wait_until(lambda: send_request(fleet, "GET", "/ledger").status == 200, "the key")


def test_sigterm_stops_a_proxy_with_exit_code_0(fleet: Fleet) -> None:
    fleet.send_signal("proxy-2", signal.SIGTERM)
    assert fleet.wait_for_exit("proxy-2") == 0
    wait_until(
        lambda: len(fleet.fetch_status(0)["roster"]["hosts"]) == 2,
        "the roster to shrink",
    )
