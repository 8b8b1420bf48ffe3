"""Merging and expiring measurements reads no more than it needs, with the same results."""

from collections import Counter
from random import Random
from typing import Any

import pytest

from godwitmast.measurements import merge as merge_module
from godwitmast.measurements import picture as picture_module
from godwitmast.measurements.merge import ZoneMerge
from godwitmast.measurements.messages import (
    MAX_AGE_S,
    Outcomes,
    ServerReport,
    ServerSummary,
    SpeedSample,
    VmReport,
)
from godwitmast.measurements.outcomes import (
    MAX_COUNT_OF_VM,
    add_age,
    distinct,
    merge_vms,
)
from godwitmast.measurements.packed import (
    pack_summary,
    pack_vm_speed,
    summary_time,
    unpack_summary,
    unpack_vm_speed,
    vm_speed_head,
)
from godwitmast.measurements.picture import FleetPicture

VMS, SERVERS = 5, 8
SPEED = SpeedSample(64.0, 5.5, None, 12.0, 130, 0.4)


def random_outcomes(draw: Random) -> Outcomes:
    """Return outcomes with ages that are often equal or the largest."""
    ages = (0.0, 0.3, 1.5, 599.9, MAX_AGE_S)
    return Outcomes(
        draw.choice((0, 1, 63, 64, 65, 1000)),
        draw.choice((0, 1, 63, 64, 65, 1000)),
        draw.choice((0, 1, 64, 70)),
        draw.choice(ages),
        draw.choice(ages),
        draw.choice(ages),
        draw.random() < 0.5,
        draw.choice((0, 0, 7, 8)),
    )


def merged_plainly(server: int, reports: list[Outcomes]) -> ServerSummary:
    """Return the merge of a zone's VMs, one sum after the other."""
    success_age_s = min(item.success_age_s for item in reports)
    failing = distinct([item for item in reports if item.failure_age_s < success_age_s])
    requests = {item.failed_request for item in failing}
    most = MAX_COUNT_OF_VM
    return ServerSummary(
        server,
        outcomes=Outcomes(
            sum(min(most, item.completed) for item in reports),
            sum(min(most, item.failed) for item in reports),
            sum(min(most, item.failed_soon) for item in reports),
            success_age_s,
            min(item.failure_age_s for item in reports),
            max((item.failure_age_s for item in failing), default=0.0),
            failed_request=requests.pop() if len(requests) == 1 else 0,
        ),
        vms=sum(item.completed + item.failed > 0 for item in reports),
        vms_failing=len(failing),
        vms_failing_soon=sum(item.last_failed_soon for item in failing),
    )


def test_one_pass_merges_as_separate_sums_do() -> None:
    """Guards against a faster merge that counts other VMs as failing."""
    draw = Random(1)
    for _ in range(3000):
        reports = [random_outcomes(draw) for _ in range(draw.randrange(1, 7))]
        assert merge_vms(3, reports) == merged_plainly(3, reports)


def test_ages_are_added_up_to_the_largest() -> None:
    """Guards against an age beyond what a message may hold, and a lost field."""
    draw = Random(2)
    for _ in range(1000):
        item, age_s = random_outcomes(draw), draw.choice((0.0, 0.1, 0.2, 700.0))
        assert add_age(item, age_s) == item._replace(
            success_age_s=min(MAX_AGE_S, item.success_age_s + age_s),
            failure_age_s=min(MAX_AGE_S, item.failure_age_s + age_s),
            failing_s=min(MAX_AGE_S, item.failing_s + age_s),
        )


def test_heads_of_packed_measurements_are_those_of_the_whole() -> None:
    """Guards against a time that is read from the wrong bytes."""
    draw = Random(3)
    for _ in range(300):
        at, vm = draw.uniform(0, 1e6), draw.randrange(2**32)
        speed = pack_vm_speed(vm, at, SPEED)
        assert vm_speed_head(speed) == unpack_vm_speed(speed)[:2] == (vm, at)
        summary = pack_summary(at, ServerSummary(7, 0.0, SPEED))
        assert summary_time(summary) == unpack_summary(7, summary)[0] == at


@pytest.fixture
def unpacked(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Return the counts of measurements that are unpacked whole."""
    counts: Counter[str] = Counter()

    def count(module: Any, name: str) -> None:
        work = getattr(module, name)

        def counted(*args: Any) -> Any:
            counts[name] += 1
            return work(*args)

        monkeypatch.setattr(module, name, counted)

    count(merge_module, "unpack_vm_speed")
    count(picture_module, "unpack_summary")
    return counts


def filled_merge() -> ZoneMerge:
    """Return a zone's merge of VMs that measured all servers."""
    zone = ZoneMerge("a", "vm-0/1", 1)
    reports = tuple(
        ServerReport(server, 0.0, SPEED, Outcomes(3, 0, 0, 0.1))
        for server in range(SERVERS)
    )
    for number in range(VMS):
        assert zone.apply(VmReport(f"vm-{number}", 1, 1, reports), 1.0)
    return zone


def test_expiry_unpacks_no_measurement(unpacked: Counter[str]) -> None:
    """Guards against an expiry that unpacks all that is known to compare its times: on a
    VM of R once a second four times 49 servers, 0.16 % of a core."""
    zone, picture = filled_merge(), FleetPicture()
    assert picture.apply(zone.full_report(1.0), 1.0)
    unpacked.clear()
    zone.expire(2.0)
    picture.expire(2.0)
    assert len(zone.servers) == len(picture.zones["a"].servers) == SERVERS
    zone.expire(40.0)
    picture.expire(40.0)
    assert not zone.servers and not picture.zones
    assert not unpacked


def test_a_vm_s_report_unpacks_no_speed(unpacked: Counter[str]) -> None:
    """Guards against a merge that unpacks the speeds of other VMs to find this VM's."""
    zone = filled_merge()
    unpacked.clear()
    report = VmReport("vm-0", 1, 2, (ServerReport(1, 0.0, SPEED),))
    assert zone.apply(report, 1.5)
    assert not unpacked
