"""Tests and files that the documentation refers to exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[1]


def test_every_test_that_the_promises_name_exists() -> None:
    source = "".join(path.read_text() for path in (ROOT / "tests").glob("test_*.py"))
    defined = set(re.findall(r"def (test_\w+)", source))
    named = re.findall(r"`(test_\w+)`", (ROOT / "docs" / "PROMISES.md").read_text())
    assert len(named) > 30
    assert not set(named) - defined


def test_every_link_between_documents_leads_somewhere() -> None:
    missing = []
    for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
        for target in re.findall(r"\]\(([^)#]+)", page.read_text()):
            if "://" not in target and not (page.parent / target).exists():
                missing.append(f"{page.name}: {target}")
    assert not missing
