from pathlib import Path

import pytest

from snipespring.decisions.rules import (
    CheckedRules,
    ParsedRules,
    check_rules,
    parse_rules,
)
from snipespring.records import Address
from snipespring.settings import (
    CallerSettings,
    LogSettings,
    SecretEnvironment,
    SecretFile,
    Settings,
    SettingsProblems,
    load_settings,
    read_secret,
)
from standins.harness import run_limited

EXAMPLES = Path(__file__).parents[3] / "docs" / "examples"
MINIMAL = """\
host: {id: h1, domain: d1, region: r1}
listen:
  callers: 127.0.1.1:8080
  peers: 127.0.1.1:7400
  operators: 127.0.1.1:9100
platform: {url: "http://127.0.0.1:8500"}
peers:
  secret_env: FLEET_SECRET
"""


def load(tmp_path: Path, text: str) -> Settings | SettingsProblems:
    path = tmp_path / "host.yaml"
    path.write_bytes(text.encode("utf-8", "surrogateescape"))
    return load_settings(path)


def list_problems(tmp_path: Path, text: str) -> list[str]:
    loaded = load(tmp_path, text)
    assert isinstance(loaded, SettingsProblems), loaded
    return [str(problem).removeprefix(f"{tmp_path}/") for problem in loaded.problems]


def test_examples_load_and_their_rules_pass_the_checks() -> None:
    settings = load_settings(EXAMPLES / "host.yaml")
    assert isinstance(settings, Settings), settings
    assert settings.listen.callers == Address(ip="127.0.1.1", port=8080)
    assert settings.peers.secret == SecretFile(path="secret.txt")
    assert settings.peers.pull_interval_s == 0.5
    assert settings.callers == CallerSettings()
    assert settings.callers.max_body_bytes == 8 * 1024 * 1024
    assert isinstance(read_secret(settings, EXAMPLES), bytes)
    parsed = parse_rules((EXAMPLES / "rules.txt").read_bytes())
    assert isinstance(parsed, ParsedRules), parsed
    checked = check_rules(parsed.rules)
    assert isinstance(checked, CheckedRules), checked
    assert checked.warnings == ()


def test_omitted_fields_have_the_defaults_of_the_example(tmp_path: Path) -> None:
    example = load_settings(EXAMPLES / "host.yaml")
    settings = load(tmp_path, MINIMAL)
    assert isinstance(settings, Settings), settings
    assert isinstance(example, Settings)
    assert settings.peers.secret == SecretEnvironment(name="FLEET_SECRET")
    assert settings.peers.fanout == example.peers.fanout
    assert settings.peers.lease_s == example.peers.lease_s
    assert settings.peers.drift_margin_s == example.peers.drift_margin_s
    assert settings.platform.timeout_s == example.platform.timeout_s
    assert (settings.callers, settings.log) == (example.callers, LogSettings())


def test_all_problems_are_reported_in_line_order(tmp_path: Path) -> None:
    text = """\
host:
  id: 7
  domain: d1
listen:
  callers: abc
  peers: 127.0.1.256:7400
  operators: 127.0.1.1:0
platform:
  url: gopher://127.0.0.1
  timeout: 500
peers:
  secret_file: a
  secret_env: b
  fanout: many
  lease: 4h
  colour: red
callers:
  max_body: 8MB
  queue: true
log: loud
extra: 1
"""
    assert list_problems(tmp_path, text) == [
        "host.yaml:1: host.region: missing",
        "host.yaml:2: host.id: expected text, got 7",
        "host.yaml:5: listen.callers: expected IP:PORT, got 'abc'",
        "host.yaml:6: listen.peers: expected IP:PORT, got '127.0.1.256:7400': "
        "not a valid IP number",
        "host.yaml:7: listen.operators: expected IP:PORT, got '127.0.1.1:0': "
        "a port is from 1 to 65535",
        "host.yaml:9: platform.url: expected a URL such as http://127.0.0.1:8500, "
        "got 'gopher://127.0.0.1'",
        "host.yaml:10: platform.timeout: expected a duration such as 500ms, 2s or "
        "10min, got 500",
        "host.yaml:12: peers.secret_file: expected secret_file or secret_env, got both",
        "host.yaml:14: peers.fanout: expected a whole number from 1, got 'many'",
        "host.yaml:15: peers.lease: expected a duration such as 500ms, 2s or 10min, "
        "got '4h'",
        "host.yaml:16: peers.colour: unknown field",
        "host.yaml:18: callers.max_body: expected a size such as 64KiB or 8MiB, "
        "got '8MB'",
        "host.yaml:19: callers.queue: expected a whole number from 1, got True",
        "host.yaml:20: log: expected a section of fields, got 'loud'",
        "host.yaml:21: extra: unknown field",
    ]


def test_peers_need_a_secret(tmp_path: Path) -> None:
    text = MINIMAL.replace("secret_env: FLEET_SECRET", "fanout: 4")
    assert list_problems(tmp_path, text) == [
        "host.yaml:7: peers.secret_file: expected secret_file or secret_env, "
        "got neither"
    ]


@pytest.mark.parametrize(
    ("text", "start"),
    [
        ("", "host.yaml: the file is empty"),
        ("- 1", "host.yaml:1: expected a section of fields"),
        ("host: [", "host.yaml:1: not valid YAML"),
        ("a: &a 1\nb: *a", "host.yaml:2: aliases are not allowed"),
        ("log:\nlog:", "host.yaml:2: log: given twice, first on line 1"),
        ("? [a]\n: 1", "host.yaml:1: not valid YAML"),
        ("a: 2026-13-45", "host.yaml: not valid YAML"),
        ("a: !!python/name:os.system x", "host.yaml:1: not valid YAML"),
        ("a: \x00", "host.yaml: not valid YAML"),
        ("[" * 1000 + "]" * 1000, "host.yaml: not valid YAML: nested too deeply"),
        ("a: \udcff", "host.yaml: cannot be read"),
        ("#" * 100_000, "host.yaml: cannot be read: larger than 65536 bytes"),
    ],
)
def test_unreadable_files_are_problems(tmp_path: Path, text: str, start: str) -> None:
    (problem,) = list_problems(tmp_path, text)
    assert problem.startswith(start)


LOAD = """
import sys
from pathlib import Path
from snipespring.settings import load_settings
print(len(load_settings(Path(sys.stdin.read())).problems))
"""
LOADING_LIMIT_S = 20.0


@pytest.mark.parametrize("piece", ["[", "{a: ", "- ", "? ", "a: 1:", '"\\', "b\n "])
def test_a_file_of_any_form_is_loaded_in_linear_time(
    tmp_path: Path, piece: str
) -> None:
    # Guards against a changed file that stops a running host while it is loaded.
    path = tmp_path / "host.yaml"
    path.write_text(piece * (60_000 // len(piece)))
    found = run_limited(LOAD, str(path).encode(), limit_s=LOADING_LIMIT_S)
    assert found == "1"


def test_absent_file_is_a_problem(tmp_path: Path) -> None:
    assert isinstance(load_settings(tmp_path / "none.yaml"), SettingsProblems)
