"""Plots of goodput over the time of an experiment."""

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from pimentoscale_bench.caller import CallRecord

BUCKET_S = 0.5


def compute_goodput(
    calls: Sequence[CallRecord], started: float, seconds: float
) -> list[float]:
    """Return the answered calls per second in each bucket of `BUCKET_S`.

    `started` is the wall-clock time in seconds at which the first bucket begins. A call
    counts in the bucket in which it ended.
    """
    buckets = [0.0] * (int(seconds / BUCKET_S) + 1)
    for call in calls:
        index = int((call.last.ended - started) / BUCKET_S)
        if call.last.outcome == "answered" and 0 <= index < len(buckets):
            buckets[index] += 1 / BUCKET_S
    return buckets


def plot_goodput(path: Path, title: str, lines: Mapping[str, Sequence[float]]) -> None:
    """Write a PNG with one line of goodput over time for each policy."""
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for name, values in lines.items():
        seconds = [index * BUCKET_S for index in range(len(values))]
        axes.plot(seconds, values, label=name)
    axes.set(title=title, xlabel="seconds", ylabel="answered calls per second")
    axes.set_ylim(bottom=0)
    axes.legend()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
