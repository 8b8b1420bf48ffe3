"""The metric of platform calls, by kind of call."""

from collections import Counter
from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector


class CallCounter(Collector):
    """Counts the calls that were sent, including those without an answer."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, call: str) -> None:
        self.counts[call] += 1

    def collect(self) -> Iterable[CounterMetricFamily]:
        family = CounterMetricFamily(
            "godwit_platform_calls", "Calls to the platform.", labels=["call"]
        )
        for call, count in sorted(self.counts.items()):
            family.add_metric([call], count)
        yield family
