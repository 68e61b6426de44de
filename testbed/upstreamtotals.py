"""What a reader could sum up for each upstream, for policies to compare with."""

from collections import deque
from typing import NamedTuple

from wisteriatiller.ids import Address, UpstreamId
from wisteriatiller.steering.evidence import HostReport
from wisteriatiller.steering.upstreams import Tag, upstream_tag

WINDOW_S = 3.0
MAX_REPORT_AGE_S = 1.5
# The middle of each class of response times in a report.
_CLASS_MIDDLES_S = (0.012, 0.024, 0.048, 0.096, 0.192, 0.384, 0.768, 1.5)


class UpstreamTotal(NamedTuple):
    """Sums of one upstream: requests in flight and its mean response time.

    ``reported_load`` is what the upstream has told itself.
    """

    in_flight: int = 0
    mean_response_s: float | None = None
    reported_load: int = 0


class UpstreamTotals:
    """Sums the reports of a zone for each upstream."""

    def __init__(self):
        self._latest: dict[Address, tuple[float, HostReport]] = {}
        self._window: deque[tuple[float, HostReport]] = deque()
        self._reported: dict[Tag, int] = {}
        self._values: dict[Tag, UpstreamTotal] = {}
        self._computed_at_s = float("-inf")

    def add_report(self, host: Address, report: HostReport, now_s: float) -> None:
        self._latest[host] = (now_s, report)
        self._window.append((now_s, report))

    def add_reported_load(self, upstream_id: UpstreamId, load: int) -> None:
        self._reported[upstream_tag(upstream_id)] = load

    def values(self, now_s: float) -> dict[Tag, UpstreamTotal]:
        """The sums as of the last tenth of a second."""
        if now_s - self._computed_at_s >= 0.1:
            self._computed_at_s = now_s
            self._values = self._compute(now_s)
        return self._values

    def _compute(self, now_s: float) -> dict[Tag, UpstreamTotal]:
        while self._window and now_s - self._window[0][0] > WINDOW_S:
            self._window.popleft()
        in_flight: dict[Tag, int] = dict.fromkeys(self._reported, 0)
        for received_at_s, report in self._latest.values():
            if now_s - received_at_s <= MAX_REPORT_AGE_S:
                for row in report:
                    in_flight[row.tag] = in_flight.get(row.tag, 0) + row.in_flight
        counts: dict[Tag, int] = {}
        waits_s: dict[Tag, float] = {}
        for _, report in self._window:
            for row in report:
                counts[row.tag] = counts.get(row.tag, 0) + sum(row.counts)
                waits_s[row.tag] = waits_s.get(row.tag, 0.0) + sum(
                    count * middle_s
                    for count, middle_s in zip(
                        row.counts, _CLASS_MIDDLES_S, strict=True
                    )
                )
        return {
            tag: UpstreamTotal(
                in_flight=in_flight.get(tag, 0),
                mean_response_s=waits_s[tag] / counts[tag] if counts.get(tag) else None,
                reported_load=self._reported.get(tag, 0),
            )
            for tag in in_flight.keys() | counts.keys()
        }
