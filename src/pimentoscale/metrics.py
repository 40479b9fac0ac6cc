"""Counters and latency histograms of one process."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import Metric, SummaryMetricFamily
from prometheus_client.registry import Collector

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0, 99.9)


@dataclass(slots=True, kw_only=True, frozen=True)
class Gauge:
    """One present value."""

    name: str
    value: float


class Metrics(Collector):
    """Histograms by kind and part of the time, and counters by name and label."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._counters: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[str, float] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def record_duration(self, *, kind: str, part: str, seconds: float) -> None:
        """Record a duration; `part` is `queue`, `service` or `whole`."""
        histogram = self._histograms.get((kind, part))
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._histograms[(kind, part)] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        """Add to a counter."""
        self._counters[(name, label)] += by

    def get_count(self, name: str, label: str = "") -> int:
        """Return a counter's value."""
        return self._counters[(name, label)]

    def sum_counts(self, name: str) -> int:
        """Return the sum of a counter over its labels."""
        return sum(value for key, value in self._counters.items() if key[0] == name)

    def get_counts(self, name: str) -> dict[str, int]:
        """Return a counter's value for each label."""
        return {
            label: value
            for (known, label), value in self._counters.items()
            if known == name
        }

    def set_gauge(self, gauge: Gauge) -> None:
        """Set a present value."""
        self._gauges[gauge.name] = gauge.value

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> list[Metric]:
        """Return the metrics for the Prometheus client library."""
        families: list[Metric] = []
        for (kind, part), histogram in self._histograms.items():
            families.append(_describe_histogram(kind, part, histogram))
        for (name, label), value in self._counters.items():
            counter = CounterMetricFamily(f"pimento_{name}", name, labels=["label"])
            counter.add_metric([label], value)
            families.append(counter)
        for name, number in self._gauges.items():
            families.append(GaugeMetricFamily(f"pimento_{name}", name, value=number))
        return families


def _describe_histogram(kind: str, part: str, histogram: HdrHistogram) -> Metric:
    family = SummaryMetricFamily(
        "pimento_call_seconds", "time of calls", labels=["kind", "part"]
    )
    count = histogram.get_total_count()
    total_s = histogram.get_mean_value() * count / 1e6
    family.add_metric([kind, part], count_value=count, sum_value=total_s)
    for quantile in QUANTILES:
        labels = {"kind": kind, "part": part, "quantile": str(quantile / 100)}
        value = histogram.get_value_at_percentile(quantile) / 1e6
        family.add_sample("pimento_call_seconds", labels, value)
    return family
