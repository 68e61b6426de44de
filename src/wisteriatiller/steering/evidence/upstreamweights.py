"""Lowers the shares of upstreams that hold more requests than others of their service.

Upstreams differ in speed. Hosts that each balance their own flows give a slow upstream
as many as a fast one, and its requests pile up. A slow upstream is not faulty: it keeps
a large part of its share, and the part moves slowly, so that it settles at a point
where all upstreams hold the same number of requests per slot.
"""

import math
from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

from wisteriatiller.ids import Address, ServiceId, ZoneId

from ..directory import DirectoryEntry, UpstreamDirectory
from ..upstreams import Tag
from .reports import HostReport

MIN_WEIGHT = 0.3
# Requests in flight per slot of the zone below which every upstream has room.
MIN_UTILIZATION = 0.3
# Requests in flight are averaged over this time, which also is the time in which a
# weight would follow a lasting difference.
WINDOW_S = 3.0
# Hosts report at this interval; closer samples would count the same requests again.
SAMPLE_INTERVAL_S = 0.6
MAX_CHANGE_PER_S = 0.25
MIN_CHANGE = 0.01
# Smaller differences from the mean are not worth a change.
TOLERANCE = 1.25
# Standard deviations by which an upstream exceeds the mean of its service only rarely
# by chance; the number of requests in flight varies like a Poisson count.
SIGNIFICANT_DEVIATIONS = 3.0
# The other upstreams of a service take what those with a lower weight do not.
MAX_LOWERED_FRACTION = 1 / 3
# Hosts report several times in this time; one that does not is gone.
MAX_REPORT_AGE_S = 1.5


class _Report(NamedTuple):
    received_at_s: float
    in_flight: Mapping[Tag, int]


class _Sample(NamedTuple):
    taken_at_s: float
    in_flight: Counter[Tag]


class UpstreamWeights:
    """Averages the requests in flight of the own zone's upstreams over all hosts."""

    def __init__(self, zone: ZoneId, directory: UpstreamDirectory):
        self._zone = zone
        self._directory = directory
        self._latest: dict[Address, _Report] = {}
        self._samples: deque[_Sample] = deque()
        self._weights: dict[Tag, float] = {}

    def add_report(self, host: Address, report: HostReport, now_s: float) -> None:
        in_flight = {row.tag: row.in_flight for row in report if row.in_flight}
        self._latest[host] = _Report(now_s, in_flight)

    def shares(self, now_s: float) -> dict[Tag, float]:
        """The shares that are below 1, moved by one step if it is time for one."""
        last_s = self._samples[-1].taken_at_s if self._samples else float("-inf")
        elapsed_s = now_s - last_s
        if elapsed_s >= SAMPLE_INTERVAL_S:
            self._take_sample(now_s)
            # After a pause the weights do not jump.
            self._move_weights(min(elapsed_s, 2 * SAMPLE_INTERVAL_S), now_s)
        return dict(self._weights)

    def _take_sample(self, now_s: float) -> None:
        total: Counter[Tag] = Counter()
        for host, report in list(self._latest.items()):
            if now_s - report.received_at_s > MAX_REPORT_AGE_S:
                del self._latest[host]
            else:
                total.update(report.in_flight)
        self._samples.append(_Sample(now_s, total))
        while now_s - self._samples[0].taken_at_s > WINDOW_S:
            self._samples.popleft()

    def _move_weights(self, elapsed_s: float, now_s: float) -> None:
        """Move each weight towards the one at which its upstream would be even."""
        is_known = now_s - self._samples[0].taken_at_s >= WINDOW_S - SAMPLE_INTERVAL_S
        in_flight: Counter[Tag] = Counter()
        for sample in self._samples:
            in_flight.update(sample.in_flight)
        moved = {}
        for entries in self._entries_by_service().values():
            targets = self._targets(entries, in_flight) if is_known else {}
            for entry in entries:
                weight = self._weights.get(entry.tag, 1.0)
                target = targets.get(entry.tag, 1.0)
                moved[entry.tag] = _moved(weight, target, elapsed_s)
        self._weights = {tag: weight for tag, weight in moved.items() if weight < 1.0}

    def _entries_by_service(self) -> dict[ServiceId, list[DirectoryEntry]]:
        by_service: dict[ServiceId, list[DirectoryEntry]] = {}
        for entry in self._directory.entries():
            if entry.upstream.zone == self._zone and entry.takes_new_flows():
                by_service.setdefault(entry.upstream.service, []).append(entry)
        return by_service

    def _targets(
        self, entries: list[DirectoryEntry], in_flight: Counter[Tag]
    ) -> dict[Tag, float]:
        """The weights below 1 that would bring upstreams to the mean of their service.

        Empty while the service has room in the zone.
        """
        slots = sum(entry.upstream.slots for entry in entries)
        per_slot = sum(in_flight[entry.tag] for entry in entries) / slots
        if per_slot <= MIN_UTILIZATION * len(self._samples):
            return {}
        targets = {}
        for entry in entries:
            mean = per_slot * entry.upstream.slots
            weight = self._weights.get(entry.tag, 1.0)
            targets[entry.tag] = _target_weight(weight, in_flight[entry.tag], mean)
        lowest = sorted(targets, key=lambda tag: (targets[tag], tag))
        return {
            tag: targets[tag]
            for tag in lowest[: int(MAX_LOWERED_FRACTION * len(entries))]
        }


def _target_weight(weight: float, in_flight: int, mean: float) -> float:
    """The weight that would bring an upstream's requests in flight to the mean."""
    if in_flight <= mean:
        return min(1.0, weight * mean / max(1, in_flight))
    is_significant = in_flight > mean + SIGNIFICANT_DEVIATIONS * math.sqrt(mean)
    if in_flight <= TOLERANCE * mean or not is_significant:
        return weight
    return max(MIN_WEIGHT, weight * mean / in_flight)


def _moved(weight: float, target: float, elapsed_s: float) -> float:
    """A weight after one step towards its target."""
    step = (target - weight) * min(1.0, elapsed_s / WINDOW_S)
    limit = MAX_CHANGE_PER_S * elapsed_s
    moved = weight + max(-limit, min(limit, step))
    # An approach in ever smaller steps would not end.
    return target if abs(target - moved) < MIN_CHANGE else moved
