"""Counters, gauges and timings, kept in memory and sent to statsd."""

import asyncio
from collections import Counter

import statsd

from wisteriatiller.ids import Address

from .interfaces import Metrics

FLUSH_INTERVAL_S = 1.0
# Timings beyond this many a second and name add nothing to a percentile but cost
# a datagram part each.
MAX_TIMINGS_PER_FLUSH = 200


class InMemoryMetrics(Metrics):
    """Keeps counters and gauges in memory only."""

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
        """The counters since the start of the process."""
        return dict(self._counters)

    def gauges(self) -> dict[str, float]:
        return dict(self._gauges)


class StatsdMetrics(InMemoryMetrics):
    """Sends what changed to statsd once a second.

    Counts are summed up between two flushes, since a datagram for each count would
    cost more than forwarding the datagram that is counted.
    """

    def __init__(self, address: Address, prefix: str):
        super().__init__()
        self._client = statsd.StatsClient(
            address.ip, address.port, prefix=prefix, ipv6=":" in address.ip
        )
        self._sent: Counter[str] = Counter()
        self._timings: dict[str, list[float]] = {}

    def timing_ms(self, name, value_ms):
        super().timing_ms(name, value_ms)
        values = self._timings.setdefault(name, [])
        if len(values) < MAX_TIMINGS_PER_FLUSH:
            values.append(value_ms)

    def flush(self) -> None:
        """Send the changes since the last flush."""
        with self._client.pipeline() as pipeline:
            for name, total in self._counters.items():
                change = total - self._sent[name]
                if change:
                    pipeline.incr(name, change)
                    self._sent[name] = total
            for name, value in self._gauges.items():
                # statsd reads a signed gauge as a change, so a negative value has
                # to follow a zero.
                if value < 0:
                    pipeline.gauge(name, 0)
                pipeline.gauge(name, value)
            for name, values in self._timings.items():
                for value_ms in values:
                    pipeline.timing(name, value_ms)
        self._timings.clear()

    async def run(self) -> None:
        """Flush each second until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def close(self) -> None:
        self._client.close()
