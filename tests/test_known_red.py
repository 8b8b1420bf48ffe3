"""The list of known failing tests excuses only the tests that it names."""

import pytest

pytest_plugins = ["pytester"]


def run_with(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch, body: str):
    """Run a file of two tests whose first is on the list."""
    path = pytester.path / "KNOWN-RED.txt"
    path.write_text("test_it.py::test_listed | a fault | 4\n")
    monkeypatch.setattr("known_red.FILE", path)
    monkeypatch.setattr("known_red.read_known_red.__defaults__", (path,), raising=False)
    pytester.makepyfile(test_it=body)
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
