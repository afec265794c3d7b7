import json
from collections.abc import Iterator
from pathlib import Path

import cappa
import pytest

from snipespring.cli.commands import Snipespring
from standins.http import start_server
from standins.store import StoreApplication

GOOD = "service ledger  # Aoife\nserver ledger 127.0.0.1:9001 domain=a  # Aoife\n"
OTHER = GOOD.replace("service ledger", "service ledger slots=5")


@pytest.fixture
def platform() -> Iterator[str]:
    server = start_server(listen="127.0.0.1:0", app=StoreApplication())
    yield f"http://127.0.0.1:{server.server_port}"
    server.server_close()


def run(*arguments: str) -> int:
    code: int = cappa.invoke(Snipespring, argv=list(arguments))
    return code


def write(folder: Path, text: str) -> str:
    path = folder / "rules.txt"
    path.write_text(text)
    return str(path)


def test_check_reports_every_bad_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, "service ledger\nnonsense x  # me\n" + GOOD)
    assert run("rules", "check", path) == 2
    errors = capsys.readouterr().err.splitlines()
    assert [line.split(":")[1] for line in errors] == ["1", "2"]


def test_check_prints_json_for_scripts(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("rules", "check", write(tmp_path, GOOD), "--json") == 0
    assert json.loads(capsys.readouterr().out)["good"] is True


def test_missing_file_is_bad_input(tmp_path: Path) -> None:
    assert run("rules", "check", str(tmp_path / "absent.txt")) == 2


def test_apply_then_show_gives_the_same_rules(
    platform: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, GOOD)
    assert run("rules", "diff", path, "--platform", platform) == 1
    assert run("rules", "apply", path, "--platform", platform) == 0
    capsys.readouterr()
    assert run("rules", "show", "--platform", platform) == 0
    assert capsys.readouterr().out == GOOD
    assert run("rules", "diff", path, "--platform", platform) == 0


def test_edit_of_an_old_version_is_reported_as_a_conflict(
    platform: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("rules", "apply", write(tmp_path, GOOD), "--platform", platform) == 0
    path = write(tmp_path, OTHER)
    code = run("rules", "apply", path, "--platform", platform, "--expect", "0")
    assert code == 1
    printed = capsys.readouterr()
    assert "conflict" in printed.err
    assert "slots=5" in printed.out


def test_unreachable_platform_gives_exit_code_3(tmp_path: Path) -> None:
    path = write(tmp_path, GOOD)
    assert run("rules", "apply", path, "--platform", "http://127.0.0.1:9") == 3
