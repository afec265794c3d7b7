import json
import re
from pathlib import Path
from typing import Any

import pytest

from snipespring.records import Address
from snipespring.settings import (
    GatewaySettings,
    SettingsProblems,
    load_gateway_settings,
)

TEMPLATE = Path(__file__).parents[3] / "deploy" / "host.yaml"
PLACEHOLDER = re.compile(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}")
FIELDS: dict[str, Any] = {
    "NodeName": "front-eire-east-a-1",
    "Ip": "10.1.0.24",
    "Zone": "eire-east-a",
    "Region": "eire-east",
    "InternalPorts": [7100, 7115],
    "Listen": {
        "Front": "10.1.0.24:8045",
        "ReadinessAddress": "10.1.0.24:8048",
        "Directory": "10.1.0.24:8044",
    },
    "Limits": {"MemoryMb": 300, "MaxFds": 4100},
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
    },
}


def render(fields: dict[str, Any]) -> str:
    """Fill the template in as the platform does."""

    def fill(found: re.Match[str]) -> str:
        value: Any = fields
        for part in found[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if found[2] else str(value)

    return PLACEHOLDER.sub(fill, TEMPLATE.read_text())


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
    assert (settings.retries.share, settings.retries.slack) == (0.2, 56)


@pytest.mark.parametrize(
    ("field", "line"),
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
