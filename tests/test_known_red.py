"""The list of known failing tests excuses only the tests that it names."""

from pathlib import Path

import pytest

from known_red import read_known_red

pytest_plugins = ["pytester"]

LISTED = "tests/test_it.py::test_listed | pytest tests, seed 1 | a fault | 4\n"


def run_with(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch, body: str):
    """Run a file of two tests whose first is on the list."""
    path = pytester.path / "KNOWN-RED.txt"
    path.write_text(LISTED)
    monkeypatch.setattr("known_red.FILE", path)
    monkeypatch.setattr("known_red.read_known_red.__defaults__", (path,), raising=False)
    pytester.makepyfile(**{"tests/test_it": body})
    return pytester.inline_run("-p", "known_red")


@pytest.mark.parametrize(
    ("body", "passed", "skipped", "failed"),
    [
        ("def test_listed(): assert 0\ndef test_other(): pass", 1, 1, 0),
        ("def test_listed(): assert 0\ndef test_other(): assert 0", 0, 1, 1),
        ("def test_listed(): pass\ndef test_other(): pass", 1, 0, 1),
    ],
)
def test_only_a_listed_test_may_fail_and_it_must(
    pytester: pytest.Pytester,
    monkeypatch: pytest.MonkeyPatch,
    body: str,
    passed: int,
    skipped: int,
    failed: int,
) -> None:
    outcome = run_with(pytester, monkeypatch, body)
    counts = [len(items) for items in outcome.listoutcomes()]
    assert counts == [passed, skipped, failed]


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_it.py::test_listed | a fault | 4",
        "tests/test_it.py::test_listed | pytest tests, seed 1 | a fault | 4 | 5",
        "tests/test_it.py::test_listed | pytest tests, seed 1 | a fault | ",
        "tests/test_it.py::test_listed | pytest tests, seed 1 |  | 4",
        "tests/test_it.py::test_listed | pytest tests, seed 1 | a fault | 4; 5",
        "tests/test_it.py::test_listed | pytest tests, seed 1 | a fault | some",
        "tests/test_it.py::test_listed | pytest tests | no seed is told | 4",
        "tests/test_it.py::test_listed | seed 1 | no command | 4",
        "tests/test_it.py::test_listed; tests/test_it.py::test_other | pytest, seed 1 | x | 4",
        "tests/test_it.py::test_gone | pytest tests, seed 1 | a fault | 4",
        "tests/test_gone.py::test_listed | pytest tests, seed 1 | a fault | 4",
        "some days | fleetbench run, seed 1 | a fault | 4",
        "own day x, own day y | fleetbench run, seed 1 | a fault | 4",
        "tests/test_it.py::test_listed | pytest tests, seed 1 | " + "x" * 500 + " | 4",
        "",
    ],
)
def test_entry_that_lacks_what_it_must_hold_is_an_error(
    tmp_path: Path, line: str
) -> None:
    """Guards against entries that name no one test, command, seed, sight and issue."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_it.py").write_text("def test_listed(): pass\n")
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(LISTED + line + "\n")
    with pytest.raises(AssertionError):
        read_known_red(path)


def test_second_entry_for_the_same_test_and_command_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_it.py").write_text("def test_listed(): pass\n")
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(LISTED)
    assert len(read_known_red(path)) == 1
    path.write_text(LISTED * 2)
    with pytest.raises(AssertionError):
        read_known_red(path)
