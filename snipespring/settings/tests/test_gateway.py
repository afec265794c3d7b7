import json
import re
from decimal import Decimal
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipespring.daemons.gateway_parts import make_warmup_bounds
from snipespring.decisions.routing import WarmupBounds
from snipespring.records import Address
from snipespring.settings import (
    GatewayLimitSettings,
    GatewayRetrySettings,
    GatewayServerSettings,
    GatewaySettings,
    SettingsProblems,
    load_gateway_settings,
)
from snipespring.settings.load import HEARTBEAT_VARIABLE

TEMPLATE = Path(__file__).parents[3] / "deploy" / "host.yaml"
SECTION = re.compile(r"\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}")
FIELDS: dict[str, Any] = {
    "NodeName": "front-eire-east-a-1",
    "Ip": "10.1.0.24",
    "Zone": "eire-east-a",
    "Region": "eire-east",
    "Bootstrap": True,
    "InternalPorts": [7100, 7115],
    "Listen": {
        "Front": "10.1.0.24:8045",
        "ReadinessAddress": "10.1.0.24:8048",
        "Directory": "10.1.0.24:8044",
    },
    "Limits": {
        "MemoryMb": 300,
        "MaxFds": 4100,
        "CpuShare": 0.717,
        "Cores": 3,
        "LinkMbps": 60.0,
    },
    "Platform": {"Address": "10.200.1.7:8041"},
    "Bounds": {
        "Drain": "2000ms",
        "Grace": "6s",
        "Revoke": "5000ms",
        "ConfigApply": "2000ms",
        "RetryBudgetRatio": 0.2,
        "BudgetWindow": "10s",
        "RetryBudgetSlack": 56,
        "QuotaWindow": "5s",
        "QuotaOvershoot": 0.1,
        "QuotaSlack": 20,
        "FloorShare": 0.65,
    },
}


def render(fields: dict[str, Any]) -> str:
    """Fill the template in as the platform does."""
    text = SECTION.sub(lambda found: expand(found, fields), TEMPLATE.read_text())
    return PLACEHOLDER.sub(lambda found: fill(found, fields), text)


def expand(found: re.Match[str], fields: dict[str, Any]) -> str:
    """Return a section's text: once for a value, for each row of a table, or none."""
    value: Any = fields
    for part in found[1].split("."):
        value = value.get(part) if isinstance(value, dict) else None
    match value:
        case None:
            return ""
        case dict():
            return "".join(
                found[2].replace("{{@}}", key).replace("{{.}}", str(row))
                for key, row in value.items()
            )
        case _:
            return found[2]


def fill(found: re.Match[str], fields: dict[str, Any]) -> str:
    """Return the text that replaces one placeholder."""
    value: Any = fields
    for part in found[1].split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return json.dumps(value) if found[2] else str(value)


def load(folder: Path, text: str) -> GatewaySettings | SettingsProblems:
    path = folder / "boot.toml"
    path.write_text(text)
    return load_gateway_settings(path)


def test_template_gives_valid_settings(tmp_path: Path) -> None:
    settings = load(tmp_path, render(FIELDS))
    assert isinstance(settings, GatewaySettings)
    assert settings.host.id == "front-eire-east-a-1"
    assert settings.listen.peers == Address(ip="10.1.0.24", port=7100)
    assert settings.platform.store == Address(ip="10.200.1.7", port=8041)
    assert (settings.platform.revoke_s, settings.stop.grace_s) == (5.0, 6.0)
    assert settings.callers.memory_bytes == 300 * 1024 * 1024
    assert (settings.callers.cpu_share, settings.callers.cores) == (0.717, 3.0)
    assert settings.callers.link_mbps == 60.0
    assert settings.retries.share == 0.2
    assert settings.retries.slack == 56.0
    assert settings.servers.floor == 0.65


def test_features_are_off_unless_their_bounds_are_named(tmp_path: Path) -> None:
    # A deployment without these bounds has to be served as before.
    settings = load(tmp_path, render(FIELDS))
    assert isinstance(settings, GatewaySettings)
    assert make_warmup_bounds(settings.servers) is None
    assert settings.platform.evacuate_s is None
    assert not settings.regions
    bounds = {
        **FIELDS["Bounds"],
        "WarmupOvershoot": 1.5,
        "WarmupSlack": 8,
        "Evacuate": "5000ms",
    }
    network = {"Zones": {"eire-east-a": "eire-east", "eire-west-a": "eire-west"}}
    text = render({**FIELDS, "Bounds": bounds, "Network": network})
    settings = load(tmp_path, text)
    assert isinstance(settings, GatewaySettings)
    assert dict(settings.regions) == network["Zones"]
    expected = WarmupBounds(overshoot=1.5, slack=8.0)
    assert make_warmup_bounds(settings.servers) == expected
    assert settings.platform.evacuate_s == 5.0


def test_heartbeat_of_the_platform_overrides_the_default(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = load(tmp_path, render(FIELDS))
    assert isinstance(settings, GatewaySettings)
    assert settings.platform.heartbeat_s == 1.5
    monkeypatch.setenv(HEARTBEAT_VARIABLE, "800ms")
    settings = load(tmp_path, render(FIELDS))
    assert isinstance(settings, GatewaySettings)
    assert settings.platform.heartbeat_s == 0.8
    monkeypatch.setenv(HEARTBEAT_VARIABLE, "soon")
    problems = load(tmp_path, render(FIELDS))
    assert isinstance(problems, SettingsProblems)
    assert [problem.file for problem in problems.problems] == [HEARTBEAT_VARIABLE]


@pytest.mark.parametrize(
    ("field", "field_prefix"),
    [("NodeName", "host.id"), ("Platform", "platform.store"), ("Bounds", "")],
)
def test_field_of_wrong_type_is_reported_with_its_line(
    tmp_path: Path, field: str, field_prefix: str
) -> None:
    broken = {**FIELDS, field: dict.fromkeys(FIELDS["Bounds"], 7) | {"Address": 7}}
    problems = load(tmp_path, render(broken))
    assert isinstance(problems, SettingsProblems)
    assert all(problem.line > 0 for problem in problems.problems)
    assert any(problem.field.startswith(field_prefix) for problem in problems.problems)


@pytest.mark.parametrize("given", [None, False])
def test_a_start_is_a_restart_unless_the_platform_marks_it(
    tmp_path: Path, given: bool | None
) -> None:
    # Guards against settings without the mark that no longer load, or that delay the
    # first listing of hosts after each restart.
    marked = load(tmp_path, render(FIELDS))
    assert isinstance(marked, GatewaySettings)
    assert marked.host.bootstrap
    settings = load(tmp_path, render({**FIELDS, "Bootstrap": given}))
    assert isinstance(settings, GatewaySettings)
    assert not settings.host.bootstrap


def test_bounds_may_be_fractions(tmp_path: Path) -> None:
    bounds = {**FIELDS["Bounds"], "RetryBudgetSlack": 20.476, "QuotaSlack": 1e-05}
    settings = load(tmp_path, render({**FIELDS, "Bounds": bounds}))
    assert isinstance(settings, GatewaySettings)
    assert settings.retries.slack == 20.476
    assert settings.limits.slack == 1e-05


def test_bounds_without_a_value_take_their_defaults(tmp_path: Path) -> None:
    text = SECTION.sub("", TEMPLATE.read_text())
    text = re.sub(r"\{\{Bounds\.[^}]*\}\}", "", text)
    settings = load(tmp_path, PLACEHOLDER.sub(lambda found: fill(found, FIELDS), text))
    assert isinstance(settings, GatewaySettings)
    assert settings.limits == GatewayLimitSettings()
    assert settings.retries == GatewayRetrySettings()
    assert settings.servers == GatewayServerSettings()


durations = st.builds(
    "{}{}".format, st.decimals("0.001", 9999, places=3), st.sampled_from(("ms", "s"))
)
numbers = st.one_of(st.integers(0, 10**6 - 1), st.floats(0.0, 1e5))


@given(
    bounds=st.fixed_dictionaries(
        {
            name: durations if isinstance(value, str) else numbers
            for name, value in FIELDS["Bounds"].items()
        }
    ),
    name=st.text("abcdefghijklmnopqrstuvwxyz-0123456789", min_size=1),
    memory_mb=st.one_of(st.integers(1, 4096), st.decimals(1, 4096, places=2)),
    sizes=st.fixed_dictionaries(
        {"CpuShare": numbers, "Cores": numbers, "LinkMbps": numbers}
    ),
)
def test_every_drawn_site_gives_valid_settings(
    tmp_path_factory: pytest.TempPathFactory,
    bounds: dict[str, object],
    name: str,
    memory_mb: Decimal | int,
    sizes: dict[str, object],
) -> None:
    fields = {
        **FIELDS,
        "NodeName": f"front-{name}-1",
        "Zone": name,
        "Limits": {**FIELDS["Limits"], **sizes, "MemoryMb": memory_mb},
        "Bounds": bounds,
    }
    settings = load(tmp_path_factory.mktemp("host"), render(fields))
    assert isinstance(settings, GatewaySettings)
    assert settings.host.domain == name


def test_amount_below_zero_is_reported_with_its_line(tmp_path: Path) -> None:
    bounds = {**FIELDS["Bounds"], "RetryBudgetSlack": -0.5}
    problems = load(tmp_path, render({**FIELDS, "Bounds": bounds}))
    assert isinstance(problems, SettingsProblems)
    (problem,) = problems.problems
    assert problem.field == "retries.slack"
    assert problem.line > 1
    assert "-0.5" in problem.reason
