"""The callers' interface: what a request is, and how each outcome is answered."""

from typing import NamedTuple, Protocol

from godwitmast.claims.keeper import ClaimedCall
from godwitmast.config.document import NumberedConfig
from godwitmast.dispatch.messages import Refuse, RequestSpec
from godwitmast.entry.intake import Envelope, Limits
from godwitmast.entry.outbound import Outbound
from godwitmast.entry.refusals import ErrorAnswer
from godwitmast.http_server import Scope, Send
from godwitmast.keys.authorizer import Caller


class Incoming(NamedTuple):
    """A request whose head, key and body were read; a public one has no caller."""

    envelope: Envelope
    caller: Caller | None
    body: bytes
    arrived: float


class Prepared(NamedTuple):
    """A request that is to go to a backend server."""

    spec: RequestSpec
    outbound: Outbound
    claimed: ClaimedCall | None = None
    give_up_at: float | None = None


class Reply(NamedTuple):
    """A request that the entry answers itself."""

    status: int
    body: object


class Front(Protocol):
    """One interface to callers; the entry's own, or that of a platform."""

    def config_changed(self, config: NumberedConfig) -> None:
        """Take the configuration that is now in force."""

    def limits(self) -> Limits:
        """Return what is taken of one caller now."""

    def open(self, scope: Scope) -> Envelope | ErrorAnswer:
        """Return the head of a request, or why it is not one."""

    def identify(
        self, envelope: Envelope, cut_off_s: float
    ) -> Caller | ErrorAnswer | None:
        """Return who calls; None where no key is asked for."""

    def prepare(self, incoming: Incoming) -> Prepared | Reply | ErrorAnswer:
        """Return what is to be done with a request."""

    def answer_refusal(self, refusal: Refuse) -> ErrorAnswer:
        """Return what the caller is told of the router's refusal."""

    async def send_error(self, send: Send, answer: ErrorAnswer, began: bool) -> None:
        """Send an error; `began` says that a stream's head is out already."""
