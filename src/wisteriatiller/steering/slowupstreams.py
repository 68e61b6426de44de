"""Sums of what the hosts of a zone see, and the upstreams that stand out in them.

An upstream that takes several times as long as the others of its service gets a part
of its share of new flows. It keeps some, so that the sums show when it is well again.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wisteriatiller.ids import Address, ServiceId, UpstreamId

from .directory import DirectoryEntry, UpstreamDirectory
from .latencies import BUCKETS, LatencyReport
from .upstreams import Tag

WINDOW_S = 3.0
# Reports come several times a second; the shares need not follow each of them.
RECOMPUTE_INTERVAL_S = 0.5
# What a few requests or a few hosts say is no evidence.
MIN_SAMPLES = 6
MIN_HOSTS = 3
# What one host says of one upstream counts for no more than this in the window.
MAX_SAMPLES_PER_HOST = 4
# Two classes are four times the wait of the service.
SLOW_BUCKETS = 2
# Waits below this class (128 ms) leave time enough for any request.
MIN_SLOW_BUCKET = 4
MIN_SHARE = 1 / 16
# If more of a service stand out, the service is slow, and nobody else can take over.
MAX_REDUCED_FRACTION = 1 / 3
# A host that waits so much longer than the others, for all, tells of itself.
SLOW_HOST_BUCKETS = 2
# Shares that nobody has renewed for this long are no longer true.
SHARES_TTL_S = 2.0


class Share(NamedTuple):
    """The part of its usual share of new flows that an upstream may take."""

    tag: Tag
    upstream_id: UpstreamId
    fraction: float
    median_bucket: int
    samples: int
    hosts: int


class Shares:
    """The shares in force at a host; all others are whole."""

    def __init__(self):
        self._fractions: Mapping[Tag, float] = {}
        self._set_at_s = float("-inf")

    def set(self, fractions: Mapping[Tag, float], now_s: float) -> None:
        self._fractions = fractions
        self._set_at_s = now_s

    def fraction_for(self, tag: Tag, now_s: float) -> float:
        if not self._fractions or now_s - self._set_at_s > SHARES_TTL_S:
            return 1.0
        return self._fractions.get(tag, 1.0)


class _Aggregate:
    """The window's counts of one upstream."""

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
    """Adds up the reports of the hosts that follow this one, and its own."""

    def __init__(self, directory: UpstreamDirectory):
        self._directory = directory
        self._reports: deque[tuple[float, Address, LatencyReport]] = deque()
        self._reduced_shares: dict[Tag, Share] = {}
        self._recomputed_at_s = float("-inf")

    def add_report(self, host: Address, report: LatencyReport, now_s: float) -> None:
        if report:
            self._reports.append((now_s, host, report))
        self._drop_old_reports(now_s)

    def reduced_shares(self, now_s: float) -> Mapping[Tag, Share]:
        """The upstreams that stand out, renewed from time to time."""
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
            for share in _slow_upstreams(group)[
                : int(MAX_REDUCED_FRACTION * len(group))
            ]
        )
        return {share.tag: share for share in found}

    def _slow_hosts(self) -> set[Address]:
        """Hosts whose own waits stand out over all upstreams."""
        counts_by_host: dict[Address, list[int]] = {}
        for _, host, report in self._reports:
            counts = counts_by_host.setdefault(host, [0] * BUCKETS)
            for histogram in report:
                _add_counts(counts, histogram.counts)
        total = [sum(column) for column in zip(*counts_by_host.values(), strict=True)]
        limit = _median_bucket(total) + SLOW_HOST_BUCKETS
        return {
            host
            for host, counts in counts_by_host.items()
            if sum(counts) >= MIN_SAMPLES and _median_bucket(counts) >= limit
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
    """The upstreams of a service that are slow beside the others, slowest first."""
    total = [0] * BUCKETS
    for _, aggregate in group:
        _add_counts(total, aggregate.counts)
    typical = _median_bucket(total)
    limit = max(typical + SLOW_BUCKETS, MIN_SLOW_BUCKET)
    found = [
        _reduced_share(entry, aggregate, typical)
        for entry, aggregate in group
        if aggregate.has_enough_samples() and _median_bucket(aggregate.counts) >= limit
    ]
    return sorted(found, key=lambda share: (-share.median_bucket, share.tag))


def _reduced_share(entry: DirectoryEntry, aggregate: _Aggregate, typical: int) -> Share:
    median = _median_bucket(aggregate.counts)
    return Share(
        tag=entry.tag,
        upstream_id=entry.upstream.upstream_id,
        fraction=max(MIN_SHARE, 2.0 ** (typical - median)),
        median_bucket=median,
        samples=sum(aggregate.counts),
        hosts=len(aggregate.samples_by_host),
    )


def _add_counts(counts: list[int], others: Iterable[int]) -> None:
    for index, count in enumerate(others):
        counts[index] += count


def _median_bucket(counts: Iterable[int]) -> int:
    """The class of the middle wait; 0 without any."""
    counts = list(counts)
    half = sum(counts) / 2
    reached = 0
    for bucket, count in enumerate(counts):
        reached += count
        if count and reached >= half:
            return bucket
    return 0
