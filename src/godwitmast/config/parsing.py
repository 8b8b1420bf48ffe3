"""Validation of configuration documents, as operators write them."""

from collections.abc import Container, Iterable, Iterator
from typing import Any

from pydantic import TypeAdapter, ValidationError

from godwitmast.config.document import (
    Backend,
    CapacityPolicy,
    Document,
    Evacuation,
    KeyGrant,
    Model,
    RequestClass,
    Service,
    Team,
)
from godwitmast.errors import ConfigInvalid
from godwitmast.types import Json
from godwitmast.validation import describe

DOCUMENT_ADAPTER = TypeAdapter(Document)
ITEM_ADAPTERS: dict[str, TypeAdapter[Any]] = {
    "classes": TypeAdapter(RequestClass),
    "teams": TypeAdapter(Team),
    "keys": TypeAdapter(KeyGrant),
    "models": TypeAdapter(Model),
    "services": TypeAdapter(Service),
    "backends": TypeAdapter(Backend),
    "capacity": TypeAdapter(CapacityPolicy),
    "evacuated": TypeAdapter(Evacuation),
}
"""Validators of the items of each section of a document."""


def parse_document(raw: Json) -> Document:
    """Return the validated document, or raise ConfigInvalid that names every problem."""
    try:
        document = DOCUMENT_ADAPTER.validate_python(raw)
    except ValidationError as error:
        raise ConfigInvalid(describe(error)) from None
    problems = find_problems(document)
    if problems:
        raise ConfigInvalid("; ".join(problems))
    return document


def parse_change(before: Document, raw: Json, patch: Json) -> Document:
    """Return `parse_document(raw)`, where `patch` turned `before` into `raw`.

    Only the items that the patch names are validated against their schema. With
    thousands of teams, validating the whole document would block the event loop, and
    so every request of the process, for a tenth of a second at each change.
    """
    if not isinstance(patch, dict) or not patch.keys() <= ITEM_ADAPTERS.keys():
        return parse_document(raw)
    changed: dict[str, dict[str, Json]] = {}
    for section, items in patch.items():
        if not isinstance(items, dict):
            return parse_document(raw)
        items_after = dict(getattr(before, section))
        for name in items:
            items_after.pop(name, None)
            if name in raw[section]:
                try:
                    item = ITEM_ADAPTERS[section].validate_python(raw[section][name])
                except ValidationError:
                    # Only validation of the whole document gives full paths.
                    return parse_document(raw)
                items_after[name] = item
        changed[section] = items_after
    document = before._replace(**changed)  # type: ignore[arg-type]
    problems = find_problems(document)
    if problems:
        raise ConfigInvalid("; ".join(problems))
    return document


def find_problems(document: Document) -> list[str]:
    """Return the contradictions in a document that satisfies its schema."""
    problems = [
        f"classes.{name}: names no target"
        for name, item in document.classes.items()
        if (item.first_token_s, item.between_tokens_s, item.completion_s) == (None,) * 3
    ]
    shares = sum(item.turn_share for item in document.classes.values())
    if shares > 1:
        problems.append(f"classes: turn shares add up to {shares:.3g}, over 1")
    for name, team in document.teams.items():
        problems += find_unknown(
            f"teams.{name}.classes", team.classes, document.classes
        )
        problems += find_unknown(f"teams.{name}.models", team.models, document.models)
    for digest, grant in document.keys.items():
        place = f"keys.{digest[:12]}"
        problems += find_unknown(f"{place}.team", {grant.team}, document.teams)
        problems += find_unknown(
            f"{place}.default_class", {grant.default_class}, document.classes
        )
        problems += find_unknown(f"{place}.classes", grant.classes, document.classes)
        problems += find_unknown(f"{place}.models", grant.models, document.models)
    pools = document.models.keys() | document.services.keys()
    for name, backend in document.backends.items():
        problems += find_unknown(f"backends.{name}.pools", backend.pools, pools)
    problems += find_unknown("capacity", document.capacity, document.models)
    return problems


def find_unknown(
    place: str, names: Iterable[str], known: Container[str]
) -> Iterator[str]:
    """Yield a problem for each of `names` that is not in `known`.

    `known` must not be copied: it may hold thousands of teams, and this runs once for
    each key.
    """
    for name in sorted(names):
        if name not in known:
            yield f"{place}: {name!r} is not configured"
