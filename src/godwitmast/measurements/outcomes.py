"""Outcomes of requests on one server, merged over the VMs of a zone and over zones.

Load pattern: a server that fails at once looks free, and each of 62 VMs sends it a
request every few seconds. What counts is how many VMs in a row failed there: one later
success anywhere shows that the failures belong to the requests.

Outcomes are ordered by when their requests started. Answers that were running when a
server began to fail end well seconds later, and say nothing of its state since.
"""

import math
from collections.abc import Sequence

from godwitmast.measurements.messages import (
    MAX_AGE_S,
    FleetOutcomes,
    Outcomes,
    ServerSummary,
)

MAX_COUNT_OF_VM = 64
"""Most outcomes of one VM on one server that count: at 850 servers and 6 VMs each sends
tens a second to one server; more would let one VM outweigh the others."""

AGE_TOLERANCE_S = 0.05
"""Ages of different VMs differ by the time that messages take on the links."""


def add_age(outcomes: Outcomes, age_s: float) -> Outcomes:
    """Return outcomes of `age_s` seconds ago with the ages that they have now."""
    completed, failed, soon, success_s, failure_s, failing_s, last, request = outcomes
    success_s, failure_s, failing_s = (
        success_s + age_s,
        failure_s + age_s,
        failing_s + age_s,
    )
    return Outcomes(
        completed,
        failed,
        soon,
        success_s if success_s < MAX_AGE_S else MAX_AGE_S,
        failure_s if failure_s < MAX_AGE_S else MAX_AGE_S,
        failing_s if failing_s < MAX_AGE_S else MAX_AGE_S,
        last,
        request,
    )


def merge_vms(server: int, reports: Sequence[Outcomes]) -> ServerSummary:
    """Return the outcomes of a zone's VMs, one item each, with their present ages."""
    if not reports:
        return ServerSummary(server)
    completed = failed = soon = vms = 0
    success_age_s = failure_age_s = math.inf
    # One pass, as a relay merges each server's reports of all of its VMs.
    for done, errors, errors_soon, success_s, failure_s, *_ in reports:
        completed += done if done < MAX_COUNT_OF_VM else MAX_COUNT_OF_VM
        failed += errors if errors < MAX_COUNT_OF_VM else MAX_COUNT_OF_VM
        soon += errors_soon if errors_soon < MAX_COUNT_OF_VM else MAX_COUNT_OF_VM
        vms += done + errors > 0
        success_age_s = success_s if success_s < success_age_s else success_age_s
        failure_age_s = failure_s if failure_s < failure_age_s else failure_age_s
    failing = distinct([item for item in reports if item.failure_age_s < success_age_s])
    requests = {item.failed_request for item in failing}
    return ServerSummary(
        server,
        outcomes=Outcomes(
            completed,
            failed,
            soon,
            success_age_s,
            failure_age_s,
            max((item.failure_age_s for item in failing), default=0.0),
            failed_request=requests.pop() if len(requests) == 1 else 0,
        ),
        vms=vms,
        vms_failing=len(failing),
        vms_failing_soon=sum(item.last_failed_soon for item in failing),
    )


def distinct(failing: Sequence[Outcomes]) -> list[Outcomes]:
    """Return the failures of different requests: a caller may send one that fails
    everywhere through one VM after the other."""
    by_request = {item.failed_request: item for item in failing if item.failed_request}
    return [*by_request.values(), *(i for i in failing if not i.failed_request)]


def merge_zones(zones: Sequence[ServerSummary]) -> FleetOutcomes | None:
    """Return the outcomes of all zones, whose summaries have their present ages.

    If another zone had a success after a zone's first failure, the zone counts for one VM
    at most: it isn't known how many failed since then.
    """
    if not zones:
        return None
    success_age_s = min(zone.outcomes.success_age_s for zone in zones)
    failing = soon = 0
    failing_s = 0.0
    requests: set[int] = set()
    for zone in zones:
        outcomes = zone.outcomes
        if outcomes.failed_request in requests:
            continue
        if outcomes.failing_s < success_age_s + AGE_TOLERANCE_S:
            count = zone.vms_failing
        else:
            failed_since = outcomes.failure_age_s < success_age_s
            count = min(zone.vms_failing, int(failed_since))
        if count:
            requests |= {outcomes.failed_request} - {0}
            failing += count
            soon += min(count, zone.vms_failing_soon)
            failing_s = max(failing_s, min(outcomes.failing_s, success_age_s))
    sums = Outcomes(
        sum(zone.outcomes.completed for zone in zones),
        sum(zone.outcomes.failed for zone in zones),
        sum(zone.outcomes.failed_soon for zone in zones),
        success_age_s,
        min(zone.outcomes.failure_age_s for zone in zones),
        failing_s,
    )
    vms = sum(zone.vms for zone in zones)
    return FleetOutcomes(sums, vms, failing, min(z.age_s for z in zones), soon)
