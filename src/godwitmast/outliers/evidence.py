"""How strongly failures on several VMs speak against a server.

Load pattern: an eighth of a pool answers 500 at once, while a kind of request has an
error rate of its own on every server. Counting failures can't tell the two apart; how
unlikely a run of failures is at the rate of the pool's other servers can. The sum of
logarithms is Wald's sequential probability ratio test (1945).
"""

import math
from collections.abc import Collection
from typing import NamedTuple

from godwitmast.measurements.messages import FleetOutcomes

FAILING_RATE = 0.9
"""Share of requests that fail on a server that is to be found."""

USUAL_RATE = 0.02
USUAL_SOON_RATE = 0.0005
"""Assumed shares of requests that fail, and that fail far sooner than an answer begins,
while little is known of the pool's other servers. With 0.005 instead of 0.02, a kind of
which 14 % fail ejected three servers in the first seconds after a start."""

ASSUMED_OUTCOMES = 200
"""Outcomes that the assumed shares count for: about as many as a pool has in a second."""

TO_EJECT = math.log(1e6)
"""One wrong ejection in some hours, at 170 requests a second. With 1e4 for a VM's own
requests, a kind of which 14 % fail ejected a server on one of 9 VMs in 30 s."""

TO_EJECT_SOON = math.log(1e4)
"""After an error of its own that came far too soon a VM acts on less, as only its own
requests avoid the server. With 1e6, 9 VMs lost 0.10 instead of 0.06 of the requests."""

MIN_VMS_FOR_ALL = 2
MAX_OUT_SHARE = 0.34
"""Largest share of a pool that is out because it fails, as for slow servers."""


class Rates(NamedTuple):
    """Shares of requests that fail, and that fail far too soon, elsewhere in a pool."""

    failed: float = USUAL_RATE
    failed_soon: float = USUAL_SOON_RATE


def pool_rates(servers: Collection[FleetOutcomes]) -> Rates:
    """Return the rates on the servers of a pool that don't seem to fail.

    If too many seem to, that is the pool's rate.
    """
    sound = [item for item in servers if item.vms_failing < MIN_VMS_FOR_ALL]
    if len(servers) - len(sound) > most_out(len(servers)):
        sound = list(servers)
    failed = sum(item.outcomes.failed for item in sound)
    soon = sum(item.outcomes.failed_soon for item in sound)
    total = failed + sum(item.outcomes.completed for item in sound)
    return Rates(
        (failed + ASSUMED_OUTCOMES * USUAL_RATE) / (total + ASSUMED_OUTCOMES),
        (soon + ASSUMED_OUTCOMES * USUAL_SOON_RATE) / (total + ASSUMED_OUTCOMES),
    )


def weight_of(failures: int, soon: int, rates: Rates) -> float:
    """Return the logarithm of how much likelier a failing server is, by failures in a
    row of which `soon` came far too soon."""
    slow_weight = math.log(FAILING_RATE / min(FAILING_RATE, rates.failed))
    soon_weight = math.log(FAILING_RATE / min(FAILING_RATE, rates.failed_soon))
    return soon * max(slow_weight, soon_weight) + (failures - soon) * slow_weight


def most_out(servers: int) -> int:
    """Return how many servers of a pool may be out because they fail."""
    return max(1, int(servers * MAX_OUT_SHARE)) if servers > 1 else 0
