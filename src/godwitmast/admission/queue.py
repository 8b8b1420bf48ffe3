"""The queue of admitted requests, by pool, tier and arrival."""

from collections.abc import Iterable

from sortedcontainers import SortedList

from godwitmast.config.document import Document
from godwitmast.dispatch.messages import NotRun, RefusalCode, Refuse, RequestSpec

MAX_WAITING = 10_000
"""Requests that one entry VM keeps waiting; its memory is bounded by this."""

DEFAULT_WAIT_S = 60.0
"""How long a request without a deadline waits at most."""


class Admission:
    """What waits, and in which order it goes."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.waiting: dict[str, SortedList] = {}
        self.ranks: dict[str, tuple[int, float, str]] = {}
        self.expiries: SortedList = SortedList()

    def update_config(self, document: Document) -> None:
        self.document = document

    def offer(self, request: RequestSpec, now: float) -> Refuse | None:
        """Queue the request, or return why it is not let in."""
        if len(self.ranks) >= MAX_WAITING:
            return Refuse(request.request_id, RefusalCode.SHED, NotRun.TRUE, 1.0)
        self.put_back(request, now)
        return None

    def put_back(self, request: RequestSpec, now: float) -> None:
        """Queue a request that was let in before."""
        tier = self.document.classes[request.class_name].tier
        rank = (tier, request.arrived, request.request_id)
        self.ranks[request.request_id] = rank
        self.waiting.setdefault(request.pool, SortedList()).add((*rank, request))
        self.expiries.add((expiry(request), request.request_id, request))

    def next(self, pool: str, now: float) -> RequestSpec | None:
        """Take the request of `pool` that goes next."""
        queue = self.waiting.get(pool)
        if not queue:
            return None
        request = queue[0][-1]
        self.remove(request)
        return request

    def remove(self, request: RequestSpec) -> None:
        """Forget a request that waits."""
        rank = self.ranks.pop(request.request_id)
        self.waiting[request.pool].remove((*rank, request))
        self.expiries.remove((expiry(request), request.request_id, request))

    def ended(self, request: RequestSpec) -> None:
        """Note that a request that was let in has ended."""

    def expire(self, now: float) -> list[Refuse]:
        """Take out and refuse what has waited past its deadline."""
        refusals = []
        while self.expiries and self.expiries[0][0] <= now:
            request = self.expiries[0][-1]
            self.remove(request)
            refusals.append(
                Refuse(request.request_id, RefusalCode.DEADLINE, NotRun.TRUE, 1.0)
            )
        return refusals

    def waiting_pools(self) -> Iterable[str]:
        return [pool for pool, queue in self.waiting.items() if queue]


def expiry(request: RequestSpec) -> float:
    """Return when a waiting request is refused."""
    if request.deadline is not None:
        return request.deadline
    return request.arrived + DEFAULT_WAIT_S
