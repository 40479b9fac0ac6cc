"""Counters, gauges and latency histograms of a process."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import Metric, SummaryMetricFamily
from prometheus_client.registry import Collector

MIN_DURATION_US = 1
MAX_DURATION_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0, 99.9)


@dataclass(slots=True, kw_only=True, frozen=True)
class Gauge:
    """A gauge and its current value."""

    name: str
    value: float


class Metrics(Collector):
    """Histograms of durations, counters and gauges.

    A histogram is identified by kind and part of the call, a counter by name and label.
    """

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._counters: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[str, float] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def record_duration(self, *, kind: str, part: str, seconds: float) -> None:
        """Record the duration of a part of a call: `queue`, `service` or `whole`."""
        histogram = self._histograms.get((kind, part))
        if histogram is None:
            histogram = HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
            self._histograms[(kind, part)] = histogram
        histogram.record_value(max(MIN_DURATION_US, int(seconds * 1e6)))

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        """Add `by` to a counter."""
        self._counters[(name, label)] += by

    def get_count(self, name: str, label: str = "") -> int:
        """Return a counter's value."""
        return self._counters[(name, label)]

    def sum_counts(self, name: str) -> int:
        """Return the sum of a counter over its labels."""
        return sum(value for key, value in self._counters.items() if key[0] == name)

    def get_counts(self, name: str) -> dict[str, int]:
        """Return the values of a counter by label."""
        return {
            label: value
            for (counter_name, label), value in self._counters.items()
            if counter_name == name
        }

    def set_gauge(self, gauge: Gauge) -> None:
        """Set the current value of a gauge."""
        self._gauges[gauge.name] = gauge.value

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> list[Metric]:
        """Return the metrics for the Prometheus client library."""
        families: list[Metric] = []
        for (kind, part), histogram in self._histograms.items():
            families.append(_make_summary(kind, part, histogram))
        for (name, label), value in self._counters.items():
            counter = CounterMetricFamily(f"pimento_{name}", name, labels=["label"])
            counter.add_metric([label], value)
            families.append(counter)
        for name, number in self._gauges.items():
            families.append(GaugeMetricFamily(f"pimento_{name}", name, value=number))
        return families


def _make_summary(kind: str, part: str, histogram: HdrHistogram) -> Metric:
    family = SummaryMetricFamily(
        "pimento_call_seconds", "time of calls", labels=["kind", "part"]
    )
    count = histogram.get_total_count()
    total_s = histogram.get_mean_value() * count / 1e6
    family.add_metric([kind, part], count_value=count, sum_value=total_s)
    for percentile in PERCENTILES:
        labels = {"kind": kind, "part": part, "quantile": str(percentile / 100)}
        value = histogram.get_value_at_percentile(percentile) / 1e6
        family.add_sample("pimento_call_seconds", labels, value)
    return family
