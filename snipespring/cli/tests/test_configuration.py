import json
from pathlib import Path
from typing import Any

import cappa
import pytest

from snipespring.cli.commands import Snipespring
from standins.http import start_server
from standins.store import StoreApplication, StoreController
from standins.store.records import CreateObject, ObjectKey

SERVICE = {"HealthPath": "/health", "MaxConns": 9}
ROUTE = {
    "Host": "a.example",
    "PathPrefix": "/read/",
    "Kind": "safe",
    "Timeout": "1500ms",
    "TargetLatency": "800ms",
    "Priority": 1,
    "Service": "ledger",
    "MaxAttempts": 2,
}
TENANT = {"ApiKeys": ["secret-key"], "RatePerS": 9, "Burst": 9}


def make_spec(**changes: Any) -> dict[str, Any]:
    return {
        "Version": "00000007",
        "Routes": {"r1": ROUTE},
        "Services": {"ledger": SERVICE},
        "Tenants": {"valeters": TENANT},
        **changes,
    }


def run(folder: Path, spec: object, *options: str) -> int:
    path = folder / "config.json"
    path.write_text(json.dumps(spec))
    argv = ["config", "check", str(path), *options]
    code: int = cappa.invoke(Snipespring, argv=argv)
    return code


@pytest.mark.parametrize(
    ("changes", "code", "line"),
    [
        ({}, 0, ""),
        (
            {
                "Routes": {
                    "r1": {**ROUTE, "Service": "gone"},
                    "r2": {**ROUTE, "PathPrefix": "/other/"},
                }
            },
            2,
            "error: route a.example/read/: service gone is not configured",
        ),
        (
            {"Routes": {"r1": ROUTE, "r2": ROUTE}},
            1,
            "never used: route a.example/read/: an earlier route has this prefix",
        ),
        (
            {"Services": {"ledger": SERVICE, "idle": SERVICE}},
            1,
            "never used: service idle: no route leads to it",
        ),
        (
            {"Tenants": {"valeters": {**TENANT, "ApiKeys": []}}},
            1,
            "never used: organisation valeters: it has no key of its own",
        ),
        (
            {"Routes": {"r1": {**ROUTE, "TargetLatency": "2s"}}},
            1,
            "contradiction: route a.example/read/: the objective of 2 s is later than "
            "the time-out of 1.5 s",
        ),
        (
            {"Tenants": {"valeters": {**TENANT, "RatePerS": 0}}},
            1,
            "contradiction: organisation valeters: the burst of 9 has no effect "
            "without a rate",
        ),
        (
            {
                "Routes": {"r1": {**ROUTE, "AllowedRegions": ["north"]}},
                "Tenants": {"valeters": {**TENANT, "AllowedRegions": ["south"]}},
            },
            1,
            "contradiction: route a.example/read/: no region is allowed for both the "
            "route (north) and organisation valeters (south)",
        ),
    ],
)
def test_each_mistake_is_reported_on_a_line(
    changes: dict[str, Any],
    code: int,
    line: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Guards against configurations that do not do what their author meant.
    assert run(tmp_path, make_spec(**changes)) == code
    assert capsys.readouterr().out.strip() == line


@pytest.mark.parametrize(
    "spec", [[], {}, {"Version": "7", "Routes": [], "Services": 1}]
)
def test_unreadable_configuration_is_bad_input(spec: object, tmp_path: Path) -> None:
    assert run(tmp_path, spec) == 2


def test_differences_from_the_version_in_force_show_no_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against sending a version that is not newer, and against printing keys.
    controller = StoreController()
    key = ObjectKey(kind="config", name="main")
    controller.call(CreateObject(key=key, spec=make_spec()))
    server = start_server(
        listen="127.0.0.1:0", app=StoreApplication(controller=controller)
    )
    store = f"127.0.0.1:{server.server_port}"
    try:
        route = {**ROUTE, "PathPrefix": "/write/"}
        keys = ["secret-key", "another-key"]
        spec = make_spec(
            Routes={"r1": {**ROUTE, "Priority": 0}, "r2": route},
            Tenants={"valeters": {**TENANT, "ApiKeys": keys}},
        )
        assert run(tmp_path, spec, "--store", store) == 0
    finally:
        server.server_close()
    printed = capsys.readouterr().out
    assert printed.splitlines() == [
        "version 7 is not above 7, in force",
        "~ route a.example/read/: priority 1 -> 0",
        "+ route a.example/write/",
        "~ keys of valeters: 1 -> 2",
    ]


def test_unreachable_store_is_said(tmp_path: Path) -> None:
    assert run(tmp_path, make_spec(), "--store", "127.0.0.1:1") == 3
