"""Response time histograms that the hosts of a zone report to their reader.

In a large zone one host sees less than one request to an upstream in several seconds,
too few to detect a slow upstream. Therefore each host counts the response times of its
requests in a histogram per upstream and reports each count once; the reader aggregates
the reports of its zone.
"""

from typing import NamedTuple

from wisteriatiller.ids import UpstreamId

from .upstreams import Tag, upstream_tag

# Upper limits of the buckets. One more bucket holds longer waits and missing answers.
BUCKET_LIMITS_MS = (16, 32, 64, 128, 256, 512, 1024)
BUCKETS = len(BUCKET_LIMITS_MS) + 1
# Limits a report, which is part of a request's URL, to one or two kilobytes.
MAX_REPORTED_UPSTREAMS = 64


class LatencyHistogram(NamedTuple):
    """The requests of one upstream, counted by response time."""

    tag: Tag
    counts: tuple[int, ...]


LatencyReport = tuple[LatencyHistogram, ...]


def bucket_index(waited_s: float) -> int:
    """The index of the bucket that counts a wait.

    >>> bucket_index(0.05)
    2
    """
    waited_ms = 1000.0 * waited_s
    return sum(waited_ms > limit_ms for limit_ms in BUCKET_LIMITS_MS)


class LatencyRecorder:
    """Counts the response times that this host has seen since its last report."""

    def __init__(self):
        self._counts: dict[UpstreamId, list[int]] = {}

    def record_answer(self, upstream_id: UpstreamId, waited_s: float) -> None:
        self._count(upstream_id, bucket_index(waited_s))

    def record_timeout(self, upstream_id: UpstreamId) -> None:
        """Count a request or an opening packet that got no answer in time."""
        self._count(upstream_id, BUCKETS - 1)

    def take_report(self) -> LatencyReport:
        """Return the counts and reset them; a report that is lost is not repeated."""
        counts, self._counts = self._counts, {}
        reported = list(counts.items())[:MAX_REPORTED_UPSTREAMS]
        return tuple(
            LatencyHistogram(upstream_tag(upstream_id), tuple(waits))
            for upstream_id, waits in reported
        )

    def _count(self, upstream_id: UpstreamId, bucket: int) -> None:
        counts = self._counts.get(upstream_id)
        if counts is None:
            counts = self._counts[upstream_id] = [0] * BUCKETS
        counts[bucket] += 1
