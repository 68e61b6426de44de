"""What a host sees of upstreams, counted for the others of its zone.

One host of many sees less than a request of an upstream in seconds, too little to tell
a slow one from the rest. The hosts of a zone together see all of it. Each counts how
long its requests waited, in a few classes, and hands the counts on once.
"""

from typing import NamedTuple

from wisteriatiller.ids import UpstreamId

from .upstreams import Tag, upstream_tag

# Waits up to these limits are a class each; the last class is longer, or no answer.
WAIT_CLASSES_MS = (16, 32, 64, 128, 256, 512, 1024)
CLASSES = len(WAIT_CLASSES_MS) + 1
# One report names at most so many upstreams: a request of a kilobyte or two.
MAX_REPORTED = 64


class WaitCounts(NamedTuple):
    """Requests of one upstream by the class of their wait."""

    tag: Tag
    counts: tuple[int, ...]


Report = tuple[WaitCounts, ...]


def wait_class(waited_s: float) -> int:
    """The class of a wait.

    >>> wait_class(0.05)
    2
    """
    waited_ms = 1000.0 * waited_s
    return sum(waited_ms > limit_ms for limit_ms in WAIT_CLASSES_MS)


class Observations:
    """Counts of this host since its last report."""

    def __init__(self):
        self._counts: dict[UpstreamId, list[int]] = {}

    def answered(self, upstream_id: UpstreamId, waited_s: float) -> None:
        self._count(upstream_id, wait_class(waited_s))

    def unanswered(self, upstream_id: UpstreamId) -> None:
        """Count a request or an opening that got no answer in time."""
        self._count(upstream_id, CLASSES - 1)

    def take(self) -> Report:
        """The counts, which begin anew; a report that gets lost is not repeated."""
        counts, self._counts = self._counts, {}
        reported = list(counts.items())[:MAX_REPORTED]
        return tuple(
            WaitCounts(upstream_tag(upstream_id), tuple(waits))
            for upstream_id, waits in reported
        )

    def _count(self, upstream_id: UpstreamId, class_index: int) -> None:
        waits = self._counts.get(upstream_id)
        if waits is None:
            waits = self._counts[upstream_id] = [0] * CLASSES
        waits[class_index] += 1
