"""What a host sees of upstreams, counted for the others of its zone.

One host of many sees less than a request of an upstream in seconds, too little to tell
a slow one from the rest. The hosts of a zone together see all of it. Each counts how
long its requests waited, in a few classes, and hands the counts on once.
"""

from typing import NamedTuple

from wisteriatiller.ids import UpstreamId

from .upstreams import Tag, upstream_tag

# Waits up to these limits are a class each; the last class is longer, or no answer.
BUCKET_LIMITS_MS = (16, 32, 64, 128, 256, 512, 1024)
BUCKETS = len(BUCKET_LIMITS_MS) + 1
# One report names at most so many upstreams: a request of a kilobyte or two.
MAX_REPORTED_UPSTREAMS = 64


class LatencyHistogram(NamedTuple):
    """Requests of one upstream by the class of their wait."""

    tag: Tag
    counts: tuple[int, ...]


LatencyReport = tuple[LatencyHistogram, ...]


def bucket_index(waited_s: float) -> int:
    """The class of a wait.

    >>> wait_class(0.05)
    2
    """
    waited_ms = 1000.0 * waited_s
    return sum(waited_ms > limit_ms for limit_ms in BUCKET_LIMITS_MS)


class LatencyRecorder:
    """Counts of this host since its last report."""

    def __init__(self):
        self._counts: dict[UpstreamId, list[int]] = {}

    def record_answer(self, upstream_id: UpstreamId, waited_s: float) -> None:
        self._count(upstream_id, bucket_index(waited_s))

    def record_timeout(self, upstream_id: UpstreamId) -> None:
        """Count a request or an opening that got no answer in time."""
        self._count(upstream_id, BUCKETS - 1)

    def take_report(self) -> LatencyReport:
        """The counts, which begin anew; a report that gets lost is not repeated."""
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
