"""Sums of what the hosts of a zone see, and the upstreams that stand out in them.

An upstream that takes several times as long as the others of its service gets a part
of its share of new flows. It keeps some, so that the sums show when it is well again.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wisteriatiller.ids import Address, ServiceId, UpstreamId

from .directory import DirectoryEntry, UpstreamDirectory
from .observations import CLASSES, Report
from .upstreams import Tag

WINDOW_S = 3.0
# Reports come several times a second; the shares need not follow each of them.
RENEWAL_S = 0.5
# What a few requests or a few hosts say is no evidence.
MIN_SAMPLES = 6
MIN_HOSTS = 3
# What one host says of one upstream counts for no more than this in the window.
MAX_SAMPLES_OF_HOST = 4
# Two classes are four times the wait of the service.
SLOW_CLASSES = 2
# Waits below this class (128 ms) leave time enough for any request.
MIN_SLOW_CLASS = 4
MIN_SHARE = 1 / 16
# If more of a service stand out, the service is slow, and nobody else can take over.
MAX_PART_OUT = 1 / 3
# A host that waits so much longer than the others, for all, tells of itself.
SLOW_HOST_CLASSES = 2
# Shares that nobody has renewed for this long are no longer true.
SHARES_KEPT_S = 2.0


class Share(NamedTuple):
    """The part of its usual share of new flows that an upstream may take."""

    tag: Tag
    upstream_id: UpstreamId
    part: float
    median_class: int
    samples: int
    hosts: int


class Shares:
    """The shares in force at a host; all others are whole."""

    def __init__(self):
        self._parts: Mapping[Tag, float] = {}
        self._set_at_s = float("-inf")

    def set(self, parts: Mapping[Tag, float], now_s: float) -> None:
        self._parts = parts
        self._set_at_s = now_s

    def part_of(self, tag: Tag, now_s: float) -> float:
        if not self._parts or now_s - self._set_at_s > SHARES_KEPT_S:
            return 1.0
        return self._parts.get(tag, 1.0)


class _Sum:
    """The window's counts of one upstream."""

    def __init__(self):
        self.counts = [0] * CLASSES
        self.by_host: Counter[Address] = Counter()

    def add(self, host: Address, counts: Iterable[int]) -> None:
        room = MAX_SAMPLES_OF_HOST - self.by_host[host]
        for class_index, count in enumerate(counts):
            taken = min(count, room)
            self.counts[class_index] += taken
            self.by_host[host] += taken
            room -= taken

    def is_enough(self) -> bool:
        return sum(self.counts) >= MIN_SAMPLES and len(self.by_host) >= MIN_HOSTS


class ZoneSums:
    """Adds up the reports of the hosts that follow this one, and its own."""

    def __init__(self, directory: UpstreamDirectory):
        self._directory = directory
        self._reports: deque[tuple[float, Address, Report]] = deque()
        self._shares: dict[Tag, Share] = {}
        self._renewed_at_s = float("-inf")

    def add(self, host: Address, report: Report, now_s: float) -> None:
        if report:
            self._reports.append((now_s, host, report))
        self._drop_old(now_s)

    def shares(self, now_s: float) -> Mapping[Tag, Share]:
        """The upstreams that stand out, renewed from time to time."""
        if now_s - self._renewed_at_s >= RENEWAL_S:
            self._renewed_at_s = now_s
            self._drop_old(now_s)
            self._shares = self._judge()
        return self._shares

    def _drop_old(self, now_s: float) -> None:
        while self._reports and now_s - self._reports[0][0] > WINDOW_S:
            self._reports.popleft()

    def _judge(self) -> dict[Tag, Share]:
        by_service: dict[ServiceId, list[tuple[DirectoryEntry, _Sum]]] = {}
        for tag, one in self._sums(self._slow_hosts()).items():
            entry = self._directory.by_tag(tag)
            if entry is not None:
                group = by_service.setdefault(entry.upstream.service, [])
                group.append((entry, one))
        found = (
            share
            for group in by_service.values()
            for share in _standing_out(group)[: int(MAX_PART_OUT * len(group))]
        )
        return {share.tag: share for share in found}

    def _slow_hosts(self) -> set[Address]:
        """Hosts whose own waits stand out over all upstreams."""
        by_host: dict[Address, list[int]] = {}
        for _, host, report in self._reports:
            counts = by_host.setdefault(host, [0] * CLASSES)
            for waits in report:
                _add_to(counts, waits.counts)
        total = [sum(column) for column in zip(*by_host.values(), strict=True)]
        limit = _median_class(total) + SLOW_HOST_CLASSES
        return {
            host
            for host, counts in by_host.items()
            if sum(counts) >= MIN_SAMPLES and _median_class(counts) >= limit
        }

    def _sums(self, left_out: set[Address]) -> dict[Tag, _Sum]:
        sums: dict[Tag, _Sum] = {}
        for _, host, report in self._reports:
            if host in left_out:
                continue
            for waits in report:
                sums.setdefault(waits.tag, _Sum()).add(host, waits.counts)
        return sums


def _standing_out(group: Sequence[tuple[DirectoryEntry, _Sum]]) -> list[Share]:
    """The upstreams of a service that are slow beside the others, slowest first."""
    total = [0] * CLASSES
    for _, one in group:
        _add_to(total, one.counts)
    usual = _median_class(total)
    limit = max(usual + SLOW_CLASSES, MIN_SLOW_CLASS)
    found = [
        _share(entry, one, usual)
        for entry, one in group
        if one.is_enough() and _median_class(one.counts) >= limit
    ]
    return sorted(found, key=lambda share: (-share.median_class, share.tag))


def _share(entry: DirectoryEntry, one: _Sum, usual: int) -> Share:
    median = _median_class(one.counts)
    return Share(
        tag=entry.tag,
        upstream_id=entry.upstream.upstream_id,
        part=max(MIN_SHARE, 2.0 ** (usual - median)),
        median_class=median,
        samples=sum(one.counts),
        hosts=len(one.by_host),
    )


def _add_to(counts: list[int], others: Iterable[int]) -> None:
    for index, count in enumerate(others):
        counts[index] += count


def _median_class(counts: Iterable[int]) -> int:
    """The class of the middle wait; 0 without any."""
    counts = list(counts)
    half = sum(counts) / 2
    reached = 0
    for class_index, count in enumerate(counts):
        reached += count
        if count and reached >= half:
            return class_index
    return 0
