"""Data types of platform requests and answers."""

from dataclasses import dataclass
from typing import NamedTuple

from godwitmast.types import Json


class Row(NamedTuple):
    """A row of the table, with the version of its last write."""

    value: Json
    version: int


@dataclass(frozen=True, slots=True)
class Written:
    """The transaction took effect; `versions` holds the rows' new versions."""

    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written; `versions` holds the current versions that did not match."""

    versions: dict[str, int]


TransactOutcome = Written | Conflict


class FleetServer(NamedTuple):
    """A backend server that was ordered from the platform."""

    backend_id: str
    url: str
    zone: str
    kind: str
    pools: list[str]
    order_id: str
    state: str
    leaves_in_s: float | None = None


class Vm(NamedTuple):
    """A VM on the platform's list, which is updated with a delay."""

    node: str
    zone: str
    address: str
    state: str
