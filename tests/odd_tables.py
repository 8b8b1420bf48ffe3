"""A table whose rows others wrote, as the clients of the platforms read it, without I/O."""

from dataclasses import dataclass, field

import msgspec

from fakes import FakePlatform
from godwitmast.errors import Undecodable
from godwitmast.platform.own_rows import decode_own_row
from godwitmast.platform_api.messages import Row, Written
from godwitmast.platform_api.steps import (
    Failure,
    GetObject,
    ObjectPut,
    ObjectRead,
    PutObject,
    Read,
    Result,
    Rows,
    Scan,
    Step,
    Transact,
)
from godwitmast.types import Json


@dataclass
class OddTable(FakePlatform):
    """Rows of any bytes, and one object; each write is taken, and must be JSON."""

    rows: dict[str, bytes] = field(default_factory=dict)
    content: bytes | None = None
    """The content of every object."""

    def value_of(self, key: str) -> Json:
        return decode_own_row(key, self.rows[key])

    def readable(self, prefix: str) -> dict[str, Row]:
        found = {}
        for number, key in enumerate(sorted(self.rows), 1):
            if key.startswith(prefix):
                try:
                    found[key] = Row(self.value_of(key), number)
                except Undecodable:
                    continue
        return found

    def apply(self, step: Step) -> Result:
        match step:
            case Read(keys):
                found = self.readable("")
                if set(keys) & self.rows.keys() - found.keys():
                    return Failure.UNKNOWN
                return Rows({key: found[key] for key in keys if key in found})
            case Scan(prefix, after):
                found = self.readable(prefix)
                return Rows({key: row for key, row in found.items() if key > after})
            case Transact(_, writes):
                assert all(key.isprintable() for key in writes)
                msgspec.json.decode(msgspec.json.encode(writes))
                return Written(dict.fromkeys(writes, 99))
            case GetObject():
                return ObjectRead(self.content)
            case PutObject():
                return ObjectPut()


class PlainTable(OddTable):
    """Rows as the own interface's platform answers them: JSON of any shape."""

    def value_of(self, key: str) -> Json:
        try:
            return msgspec.json.decode(self.rows[key])
        except Exception as error:
            # The whole answer would be malformed.
            raise Undecodable(str(error)) from None
