"""The interface through which an exchange has another VM serve its request."""

from collections.abc import Callable
from typing import Protocol

import httpx

from godwitmast.backends.client import BackendClient
from godwitmast.backends.transport import end_connection, is_first_exchange
from godwitmast.dispatch.messages import FailureKind, RequestSpec
from godwitmast.forwarding.peers import Peer
from godwitmast.forwarding.terms import NONCE_HEADER, ForwardTerms
from godwitmast.types import PoolName


class Forwarder(Protocol):
    """Chooses other VMs for requests while this one reaches no backend server."""

    client: BackendClient
    config_version: Callable[[], int]

    def may_forward(self, spec: RequestSpec) -> bool: ...

    def choose(self, pool: PoolName, tried: set[str]) -> Peer | None: ...

    def record_failure(self, peer: Peer, pool: PoolName, kind: FailureKind) -> None: ...

    def record_answer(self, peer: Peer, pool: PoolName) -> None: ...

    def record_exhausted(self, pool: PoolName) -> None: ...


def answers_send(terms: ForwardTerms, answer: httpx.Response) -> bool:
    """Return whether another VM's answer is that to a request sent with these terms.

    Older versions repeat no nonce. Their answers are told by their connections, each of
    which then carries a single request.
    """
    nonce = answer.headers.get(NONCE_HEADER.decode())
    if nonce is None and is_first_exchange(answer):
        end_connection(answer)
        return True
    return nonce == terms.nonce
