"""Detects slow upstreams from the reports of all hosts of a zone.

An upstream whose response times are several times those of its service gets only a
fraction of its usual share of new flows. The fraction is never zero, so that later
reports show when the upstream has recovered.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wisteriatiller.ids import Address, ServiceId, UpstreamId

from ..directory import DirectoryEntry, UpstreamDirectory
from ..upstreams import Tag
from .reports import BUCKETS, HostReport

WINDOW_S = 3.0
# Reports arrive several times a second, and the shares need not change that often.
RECOMPUTE_INTERVAL_S = 0.5
# Fewer requests, or requests of fewer hosts, are too few to judge an upstream.
MIN_SAMPLES = 6
MIN_HOSTS = 3
# Limits the influence of one host on the aggregate of one upstream in the window.
MAX_SAMPLES_PER_HOST = 4
# Two buckets above the median of the service are four times its response time.
SLOW_BUCKETS = 2
# Upstreams whose median is below this bucket (128 ms) are fast enough for any request.
MIN_SLOW_BUCKET = 4
MIN_SHARE = 1 / 16
# If more upstreams of a service are slow, the service itself is slow, and the others
# could not take over their flows.
MAX_SLOW_FRACTION = 1 / 3
# A host whose median over all upstreams is this far above that of the zone is slow
# itself, so that its reports are ignored.
SLOW_HOST_BUCKETS = 2


class Share(NamedTuple):
    """The fraction of its usual share of new flows that a slow upstream may take."""

    tag: Tag
    upstream_id: UpstreamId
    fraction: float
    median_bucket: int
    samples: int
    hosts: int


class _Aggregate:
    """The histogram of one upstream over the window, from all hosts."""

    def __init__(self):
        self.counts = [0] * BUCKETS
        self.samples_by_host: Counter[Address] = Counter()

    def add(self, host: Address, counts: Iterable[int]) -> None:
        remaining = MAX_SAMPLES_PER_HOST - self.samples_by_host[host]
        for bucket, count in enumerate(counts):
            added = min(count, remaining)
            self.counts[bucket] += added
            self.samples_by_host[host] += added
            remaining -= added

    def has_enough_samples(self) -> bool:
        return (
            sum(self.counts) >= MIN_SAMPLES and len(self.samples_by_host) >= MIN_HOSTS
        )


class SlowUpstreamDetector:
    """Aggregates the reports of this host and of those that follow it."""

    def __init__(self, directory: UpstreamDirectory):
        self._directory = directory
        self._reports: deque[tuple[float, Address, HostReport]] = deque()
        self._reduced_shares: dict[Tag, Share] = {}
        self._recomputed_at_s = float("-inf")

    def add_report(self, host: Address, report: HostReport, now_s: float) -> None:
        with_answers = tuple(row for row in report if any(row.counts))
        if with_answers:
            self._reports.append((now_s, host, with_answers))
        self._drop_old_reports(now_s)

    def reduced_shares(self, now_s: float) -> Mapping[Tag, Share]:
        """The shares of slow upstreams, recomputed at intervals."""
        if now_s - self._recomputed_at_s >= RECOMPUTE_INTERVAL_S:
            self._recomputed_at_s = now_s
            self._drop_old_reports(now_s)
            self._reduced_shares = self._compute_reduced_shares()
        return self._reduced_shares

    def _drop_old_reports(self, now_s: float) -> None:
        while self._reports and now_s - self._reports[0][0] > WINDOW_S:
            self._reports.popleft()

    def _compute_reduced_shares(self) -> dict[Tag, Share]:
        by_service: dict[ServiceId, list[tuple[DirectoryEntry, _Aggregate]]] = {}
        for tag, aggregate in self._aggregate_reports(self._slow_hosts()).items():
            entry = self._directory.by_tag(tag)
            if entry is not None:
                group = by_service.setdefault(entry.upstream.service, [])
                group.append((entry, aggregate))
        found = (
            share
            for group in by_service.values()
            for share in _slow_upstreams(group)[: int(MAX_SLOW_FRACTION * len(group))]
        )
        return {share.tag: share for share in found}

    def _slow_hosts(self) -> set[Address]:
        """Hosts that see long response times over all upstreams."""
        counts_by_host: dict[Address, list[int]] = {}
        for _, host, report in self._reports:
            counts = counts_by_host.setdefault(host, [0] * BUCKETS)
            for histogram in report:
                add_counts(counts, histogram.counts)
        total = [sum(column) for column in zip(*counts_by_host.values(), strict=True)]
        limit = median_bucket(total) + SLOW_HOST_BUCKETS
        return {
            host
            for host, counts in counts_by_host.items()
            if sum(counts) >= MIN_SAMPLES and median_bucket(counts) >= limit
        }

    def _aggregate_reports(self, excluded: set[Address]) -> dict[Tag, _Aggregate]:
        aggregates: dict[Tag, _Aggregate] = {}
        for _, host, report in self._reports:
            if host in excluded:
                continue
            for histogram in report:
                aggregates.setdefault(histogram.tag, _Aggregate()).add(
                    host, histogram.counts
                )
        return aggregates


def _slow_upstreams(group: Sequence[tuple[DirectoryEntry, _Aggregate]]) -> list[Share]:
    """The reduced shares of the slow upstreams of a service, slowest first."""
    total = [0] * BUCKETS
    for _, aggregate in group:
        add_counts(total, aggregate.counts)
    typical = median_bucket(total)
    limit = max(typical + SLOW_BUCKETS, MIN_SLOW_BUCKET)
    found = [
        _reduced_share(entry, aggregate, typical)
        for entry, aggregate in group
        if aggregate.has_enough_samples() and median_bucket(aggregate.counts) >= limit
    ]
    return sorted(found, key=lambda share: (-share.median_bucket, share.tag))


def _reduced_share(entry: DirectoryEntry, aggregate: _Aggregate, typical: int) -> Share:
    median = median_bucket(aggregate.counts)
    return Share(
        tag=entry.tag,
        upstream_id=entry.upstream.upstream_id,
        fraction=max(MIN_SHARE, 2.0 ** (typical - median)),
        median_bucket=median,
        samples=sum(aggregate.counts),
        hosts=len(aggregate.samples_by_host),
    )


def add_counts(counts: list[int], others: Iterable[int]) -> None:
    for index, count in enumerate(others):
        counts[index] += count


def median_bucket(counts: Iterable[int]) -> int:
    """The bucket of the median; 0 if there are no samples."""
    counts = list(counts)
    half = sum(counts) / 2
    reached = 0
    for bucket, count in enumerate(counts):
        reached += count
        if count and reached >= half:
            return bucket
    return 0
