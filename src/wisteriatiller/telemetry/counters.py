"""Counters, gauges and latency histograms in the Prometheus text format."""

from bisect import bisect_left
from collections.abc import Callable

PREFIX = "wisteriatiller_"
# Upper bounds of the histogram buckets, each about twice the one before.
LATENCY_BOUNDS_MS = (0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 50, 100, 250, 500, 1000, 2500)


class Histogram:
    """Latencies, counted by bucket, and their sum."""

    __slots__ = ("counts", "sum_ms")

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def observe_ms(self, value_ms: float) -> None:
        self.counts[bisect_left(LATENCY_BOUNDS_MS, value_ms)] += 1
        self.sum_ms += value_ms


class Counters:
    """The metrics of one process.

    ``count("refused", "no_route")`` adds to ``wisteriatiller_refused_total`` with the
    label ``kind="no_route"``.
    """

    def __init__(self):
        self._counts: dict[tuple[str, str], int] = {}
        self._histograms: dict[str, Histogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, kind: str = "", amount: int = 1) -> None:
        key = (name, kind)
        self._counts[key] = self._counts.get(key, 0) + amount

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; ``read`` is called for each rendering."""
        self._gauges[name] = read

    def observe_ms(self, name: str, value_ms: float) -> None:
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram()
        histogram.observe_ms(value_ms)

    def render(self) -> str:
        """Return all metrics as text, one line for each value."""
        lines = []
        for (name, kind), value in sorted(self._counts.items()):
            label = f'{{kind="{kind}"}}' if kind else ""
            lines.append(f"{PREFIX}{name}_total{label} {value}")
        for name, read in sorted(self._gauges.items()):
            lines.append(f"{PREFIX}{name} {read():g}")
        for name, histogram in sorted(self._histograms.items()):
            lines += self._render_histogram(f"{PREFIX}{name}_ms", histogram)
        return "\n".join(lines) + "\n"

    def _render_histogram(self, name: str, histogram: Histogram) -> list[str]:
        lines = []
        total = 0
        bounds = (*map(str, LATENCY_BOUNDS_MS), "+Inf")
        for bound, count in zip(bounds, histogram.counts, strict=True):
            total += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
        lines.append(f"{name}_sum {histogram.sum_ms:.3f}")
        lines.append(f"{name}_count {total}")
        return lines
