"""Implementations of ``Metrics``: in memory only, or also sent to statsd."""

import asyncio
from collections import Counter

import statsd

from wisteriatiller.ids import Address

from .interfaces import Metrics

FLUSH_INTERVAL_S = 1.0
# More timings per second and name would not make percentiles more accurate, but each
# takes up space in a datagram.
MAX_TIMINGS_PER_FLUSH = 200


class InMemoryMetrics(Metrics):
    """Keeps counters and gauges in memory; of timings only their number."""

    def __init__(self):
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}

    def count(self, name, amount=1):
        self._counters[name] += amount

    def gauge(self, name, value):
        self._gauges[name] = value

    def timing_ms(self, name, value_ms):
        self._counters[f"{name}.timings"] += 1

    def counters(self) -> dict[str, int]:
        """Return the counters since the start of the process."""
        return dict(self._counters)

    def gauges(self) -> dict[str, float]:
        return dict(self._gauges)


class StatsdMetrics(InMemoryMetrics):
    """Also sends counter increments, gauges and timings to statsd once a second.

    Counts are aggregated between flushes, since a statsd datagram for each count would
    cost more than forwarding the datagram that is counted.
    """

    def __init__(self, address: Address, prefix: str):
        super().__init__()
        self._client = statsd.StatsClient(
            address.ip, address.port, prefix=prefix, ipv6=":" in address.ip
        )
        self._flushed_counters: Counter[str] = Counter()
        self._unsent_timings: dict[str, list[float]] = {}

    def timing_ms(self, name, value_ms):
        super().timing_ms(name, value_ms)
        values = self._unsent_timings.setdefault(name, [])
        if len(values) < MAX_TIMINGS_PER_FLUSH:
            values.append(value_ms)

    def flush(self) -> None:
        """Send counter increments and timings since the last flush, and all gauges."""
        with self._client.pipeline() as pipeline:
            for name, total in self._counters.items():
                increment = total - self._flushed_counters[name]
                if increment:
                    pipeline.incr(name, increment)
                    self._flushed_counters[name] = total
            for name, value in self._gauges.items():
                # statsd treats a gauge with a sign as a relative change, so a negative
                # value is sent after a zero.
                if value < 0:
                    pipeline.gauge(name, 0)
                pipeline.gauge(name, value)
            for name, values in self._unsent_timings.items():
                for value_ms in values:
                    pipeline.timing(name, value_ms)
        self._unsent_timings.clear()

    async def run(self) -> None:
        """Flush once a second until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def close(self) -> None:
        self._client.close()
