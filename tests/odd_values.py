"""Strategies for what another program may write in place of a decoder's own values."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

import cbor2
import msgspec
from hypothesis import strategies as st
from msgspec import inspect

Path = tuple[str | int, ...]
Known = Mapping[str, Any]
"""Usual values of fields, by name; other fields have one by their type."""

MAX_ITEMS = 3


class Literal(NamedTuple):
    """Bytes in place of a JSON value, which need not be valid."""

    content: bytes


class Twice(NamedTuple):
    """The values of a field that an object has twice."""

    first: Any
    second: Any


class Missing:
    """Stands for a field that is left out."""


def nested(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


INTEGERS = (0, 1, -1, 2**31, 2**53, 2**63 - 1, 2**63, 2**64, -(2**63), 10**400)
FLOATS = (-0.0, 0.5, 1e-320, 5e-324, 1e15, 1e308, -1e308)
TEXTS = (
    "",
    "x",
    "\x00",
    "\r\n",
    "\u0661\u0662",
    "\U0001f600",
    "9" * 5000,
    "x" * 30_000,
)

ODD_JSON: tuple[Any, ...] = (
    *(None, True, False, [], {}, [None], {"": None}),
    *(*INTEGERS, *FLOATS, *TEXTS),
    *(
        Literal(content)
        for content in (
            rb'"\ud800"',
            rb'"\udc00x"',
            b'"\xff\xfe"',
            b"9" * 5000,
            b"1e400",
            b"-1e400",
            b"Infinity",
            b"NaN",
            b"-",
            b"01",
            nested(1100),
            nested(5000),
            b"[" * 5000,
            b'{"a":' * 1100 + b"1" + b"}" * 1100,
        )
    ),
)


def nested_list(depth: int) -> list[Any]:
    value: list[Any] = []
    for _ in range(depth):
        value = [value]
    return value


ODD_CBOR: tuple[Any, ...] = (
    *(None, True, False, [], {}, [None], {1: 2}, b"\xff", cbor2.undefined),
    *(*INTEGERS, *FLOATS, *TEXTS),
    *(float("inf"), float("-inf"), float("nan"), nested_list(100)),
)


def render(value: Any) -> bytes:
    """Return a value as JSON, with literals and fields that are there twice."""
    match value:
        case Literal(content):
            return content
        case dict():
            pairs = b",".join(
                msgspec.json.encode(str(key)) + b":" + render(item)
                for key, items in value.items()
                for item in (items if isinstance(items, Twice) else (items,))
            )
            return b"{" + pairs + b"}"
        case list():
            return b"[" + b",".join(render(item) for item in value) + b"]"
        case _:
            return msgspec.json.encode(value)


PLAIN: dict[type[inspect.Type], Any] = {
    inspect.StrType: "x",
    inspect.BoolType: False,
    inspect.BytesType: b"",
}


def example_of(info: inspect.Type, known: Known, name: str = "") -> Any:
    """Return a usual value of a type, as JSON and CBOR have it."""
    if name in known:
        return known[name]
    match info:
        case inspect.StructType(array_like=True) | inspect.NamedTupleType():
            return [example_of(f.type, known, f.name) for f in info.fields]
        case inspect.StructType(fields=fields) | inspect.TypedDictType(fields=fields):
            return {f.encode_name: example_of(f.type, known, f.name) for f in fields}
        case inspect.ListType(item_type=item) | inspect.VarTupleType(item_type=item):
            return [example_of(item, known)]
        case inspect.TupleType(item_types=items):
            return [example_of(item, known) for item in items]
        case inspect.DictType(key_type=key, value_type=item):
            return {example_of(key, known): example_of(item, known)}
        case inspect.UnionType(types=types):
            return example_of(types[0], known)
        case inspect.IntType(ge=least) | inspect.FloatType(ge=least):
            return max(1, least or 0)
        case inspect.EnumType(cls=kind):
            return next(iter(kind)).value
    return PLAIN.get(type(info))


def sites_of(value: Any, path: Path = ()) -> Iterator[Path]:
    """Yield the paths of all values inside a value, and its own."""
    yield path
    items: Iterable[tuple[Any, Any]] = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value[:MAX_ITEMS])
    for name, item in items:
        yield from sites_of(item, (*path, name))


def change(value: Any, path: Path, new: Any) -> Any:
    """Return a value with another one at a path, or without the field there."""
    if not path:
        return new
    first, rest = path[0], path[1:]
    if isinstance(value, dict) and first in value:
        changed = change(value[first], rest, new)
        others = {k: v for k, v in value.items() if k != first}
        return others if changed is Missing else {**others, first: changed}
    if isinstance(value, list) and isinstance(first, int) and first < len(value):
        changed = change(value[first], rest, new)
        middle = [] if changed is Missing else [changed]
        return [*value[:first], *middle, *value[first + 1 :]]
    return value


def bounds_of(info: inspect.Type) -> set[Any]:
    """Return the bounds of all numbers in a type, and what is just outside of them."""
    found: set[Any] = set()
    match info:
        case inspect.IntType() | inspect.FloatType():
            for bound in (info.ge, info.le, info.gt, info.lt):
                found |= set() if bound is None else {bound - 1, bound, bound + 1}
        case inspect.StructType() | inspect.NamedTupleType() | inspect.TypedDictType():
            found = found.union(*(bounds_of(f.type) for f in info.fields))
        case inspect.ListType() | inspect.VarTupleType():
            found = bounds_of(info.item_type)
        case inspect.TupleType():
            found = found.union(*map(bounds_of, info.item_types))
        case inspect.DictType():
            found = bounds_of(info.key_type) | bounds_of(info.value_type)
        case inspect.UnionType():
            found = found.union(*map(bounds_of, info.types))
    return found


class Shape(NamedTuple):
    """A type that a decoder reads, and usual values of its fields."""

    kind: Any
    known: Known = {}
    changed: tuple[str, ...] = ()
    """Only values below these names are changed; none means all."""

    @property
    def example(self) -> Any:
        return example_of(inspect.type_info(self.kind), self.known)

    @property
    def sites(self) -> list[Path]:
        found = list(sites_of(self.example))
        if not self.changed:
            return found
        return [path for path in found if set(self.changed).intersection(path)]

    def odd_values(self, odd: tuple[Any, ...]) -> list[Any]:
        bounds = sorted(bounds_of(inspect.type_info(self.kind)))
        return [Missing, *odd, *(b for b in bounds if b not in odd)]

    def single_changes(self, odd: tuple[Any, ...] = ODD_JSON) -> Iterator[Any]:
        """Yield the example with each odd value in each place."""
        example = self.example
        for path in self.sites:
            for value in self.odd_values(odd):
                changed = change(example, path, value)
                if changed is not Missing:
                    yield changed

    def combinations(self, odd: tuple[Any, ...] = ODD_JSON) -> st.SearchStrategy[Any]:
        """Return a strategy for examples with several odd values."""
        example, values = self.example, self.odd_values(odd)
        one = st.tuples(st.sampled_from(self.sites), st.sampled_from(values))
        return st.lists(one, min_size=1, max_size=4).map(
            lambda changes: apply_changes(example, changes)
        )

    def documents(self) -> st.SearchStrategy[bytes]:
        """Return a strategy for JSON documents, some with a field twice, or damaged."""
        drawn = st.tuples(self.combinations(), self.combinations()).map(join_fields)
        whole = self.combinations() | drawn
        return whole.map(render).flatmap(damage)


def apply_changes(value: Any, changes: list[tuple[Path, Any]]) -> Any:
    for path, new in changes:
        changed = change(value, path, new)
        value = None if changed is Missing else changed
    return value


def join_fields(pair: tuple[Any, Any]) -> Any:
    """Return an object with the fields of both values, each twice."""
    first, second = pair
    if not isinstance(first, dict) or not isinstance(second, dict):
        return first
    return {
        name: Twice(item, second[name]) if name in second else item
        for name, item in first.items()
    }


def damage(content: bytes) -> st.SearchStrategy[bytes]:
    """Return a strategy for a document as it is, truncated, or with other bytes."""
    places = st.integers(0, len(content))
    return st.one_of(
        st.just(content),
        places.map(lambda end: content[:end]),
        st.tuples(places, st.binary(min_size=1, max_size=4)).map(
            lambda cut: content[: cut[0]] + cut[1] + content[cut[0] :]
        ),
    )
