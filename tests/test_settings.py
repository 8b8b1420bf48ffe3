"""Settings files, configuration documents, and common options of the programs."""

import json
import shlex
from pathlib import Path

import pytest
from typer import Typer
from typer.testing import CliRunner

from godwitmast import __version__
from godwitmast.burn.cli import app as burn_app
from godwitmast.config.parsing import parse_document
from godwitmast.control.cli import app as control_app
from godwitmast.ctl.cli import app as ctl_app
from godwitmast.dev.cli import app as dev_app
from godwitmast.dev.document import dev_document
from godwitmast.entry.cli import app as entry_app
from godwitmast.entry.settings import EntrySettings
from godwitmast.errors import ConfigInvalid, SettingsError
from godwitmast.load.cli import app as load_app
from godwitmast.settings import load_settings
from godwitmast.standins.cli import app as standin_app

ROOT = Path(__file__).parents[1]
PROCFILE = ROOT / "examples" / "local" / "Procfile"

APPS = {
    "godwit-burn": burn_app,
    "godwit-control": control_app,
    "godwitctl": ctl_app,
    "godwit-dev": dev_app,
    "godwit-entry": entry_app,
    "godwit-load": load_app,
    "godwit-standin": standin_app,
}

GOOD = 'node = "n"\nzone = "z"\nplatform.url = "http://127.0.0.1:1"\n'


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("", "node: Field required"),
        (GOOD + "colour = 3\n", "colour = 3"),
        (GOOD + "listen.port = 99999\n", "listen.port = 99999"),
        (GOOD + 'listen.port = "http"\n', "listen.port = 'http'"),
        (GOOD + "limits.max_body_bytes = 0\n", "greater than 0"),
        ("node = \n", "not TOML"),
    ],
)
def test_bad_settings_are_named_with_key_value_and_what_is_allowed(
    tmp_path: Path, text: str, problem: str
) -> None:
    path = tmp_path / "entry.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=problem):
        load_settings(path, EntrySettings, {})
    result = CliRunner().invoke(entry_app, ["--settings", str(path), "--check"])
    assert result.exit_code == 2
    assert problem in result.output


def test_environment_overrides_a_key_of_a_table(tmp_path: Path) -> None:
    path = tmp_path / "entry.toml"
    path.write_text(GOOD)
    environ = {"GODWIT__LISTEN__PORT": "8123", "OTHER": "x"}
    settings = load_settings(path, EntrySettings, environ)
    assert settings.listen.port == 8123
    with pytest.raises(SettingsError, match="listen.porch"):
        load_settings(path, EntrySettings, {"GODWIT__LISTEN__PORCH": "1"})


@pytest.mark.parametrize("name", APPS)
def test_program_prints_version_and_help(name: str) -> None:
    version = CliRunner().invoke(APPS[name], ["--version"])
    assert (version.exit_code, version.output.strip()) == (0, __version__)
    helped = CliRunner().invoke(APPS[name], ["--help"])
    assert helped.exit_code == 0
    assert "Exit codes" in helped.output


@pytest.mark.parametrize("line", PROCFILE.read_text().splitlines())
def test_procfile_line_names_a_program_with_valid_settings(
    line: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(ROOT)
    program, *args = shlex.split(line.split(": ", 1)[1])
    app: Typer = APPS[program]
    result = CliRunner().invoke(app, [*args, "--check"])
    assert result.exit_code == 0, result.output


@pytest.mark.parametrize("name", ["trust", "coop"])
def test_first_configurations_are_valid(name: str) -> None:
    path = ROOT / "examples" / name / "config.json"
    document = parse_document(json.loads(path.read_text()))
    assert len(document.teams) == 10


@pytest.mark.parametrize(
    ("place", "value", "problem"),
    [
        (("classes", "question"), {"tier": 1}, "classes.question: names no target"),
        (("classes", "question"), {"tier": 0, "completion_s": 1}, "tier = 0"),
        (("teams", "arima"), {"weight": -1}, "weight = -1"),
        (("teams", "arima"), {"colour": 1}, "colour"),
        (("keys", "0" * 64), {"team": "no", "default_class": "question"}, "'no'"),
        (("backends", "x"), {"url": "u", "zone": "z", "pools": ["no"]}, "'no'"),
    ],
)
def test_configuration_that_contradicts_itself_is_refused(
    place: tuple[str, str], value: dict, problem: str
) -> None:
    raw = dev_document([], "http://127.0.0.1:1")
    raw[place[0]][place[1]] = value
    with pytest.raises(ConfigInvalid, match=problem):
        parse_document(raw)
