"""Paces upstreams that start or recover by their answers to the hosts of a zone.

An upstream that has just started or recovered has the fewest flows and would get every
new one while it may still be slow. The reader of its zone lets its share of the new
flows grow while its answers are as fast as those of the others, and lowers the share at
once if they are not.
"""

from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from wisteriatiller.ids import Address, ServiceId, UpstreamId, ZoneId

from ..directory import DirectoryEntry, UpstreamDirectory
from ..routes import ConfigView
from ..upstreams import Tag
from .coldness import cold_until_s
from .outlierdetection import SLOW_START_S
from .recoveries import RecoveryDetector
from .reports import BUCKETS, HostReport, UpstreamReport
from .slowupstreams import add_counts, median_bucket

INITIAL_SHARE = 0.25
# Lower shares would give too few answers to see that the upstream has become faster.
MIN_SHARE = 1 / 16
# A share has to reach the hosts and to show in their reports before it changes again.
MIN_STEP_S = 0.5
MIN_SAMPLES = 3
# One host may be slow itself, so that its samples alone do not decide.
MAX_SAMPLES_PER_HOST = 2
# One bucket above the median of the service is twice its response time at most.
SLOW_BUCKETS = 2
# After this time fewer answers are enough, if all are fast: an upstream with a small
# share of a small load gives no more.
FEW_SAMPLES_STEP_S = 1.5
# Without any answer for this long the share grows too.
IDLE_STEP_S = 3.0
# The same for both once the entry says that the upstream is warm, so that it does not
# wait longer than without a reader.
WARM_STEP_S = 1.0
# Response times of the service are taken from this time.
WINDOW_S = 3.0
MIN_SERVICE_SAMPLES = 6
# The warm upstreams of a service get at most this many times their even share while
# others warm up. They could not take over the flows of most of the service.
MAX_WARM_LOAD = 1.5
# A host that misses answers of so many upstreams, and of most that it reports, has a
# bad link.
TROUBLED_HOST_UPSTREAMS = 3
# An upstream that answers again may have restarted, and be cold before its entry tells:
# the entry is written each 1.2 s, read each 0.7 s and passed on each 0.6 s.
UNLISTED_START_S = 2.5
# A reader that has not computed shares for this long has followed another one since.
MAX_GAP_S = 2.0


class PaceReason(Enum):
    """Why the share of a warming upstream changed; the values are logged."""

    STARTED = "started"
    RESUMED = "resumed"
    RETURNED = "returned"
    RECOVERED = "recovered"
    EVACUATION_ENDED = "evacuation_ended"
    FAST_ANSWERS = "fast_answers"
    FEW_ANSWERS = "few_answers"
    SLOW_ANSWERS = "slow_answers"
    MISSING_ANSWERS = "missing_answers"
    COMPLETE = "complete"
    GONE = "gone"


BEGIN_REASONS = frozenset(
    (
        PaceReason.STARTED,
        PaceReason.RESUMED,
        PaceReason.RETURNED,
        PaceReason.RECOVERED,
        PaceReason.EVACUATION_ENDED,
    )
)


class PaceChange(NamedTuple):
    """A new share of a warming upstream, and the answers that it is based on."""

    upstream_id: UpstreamId
    share: float
    samples: int
    reason: PaceReason


class PaceObserver(ABC):
    """Is notified when an upstream begins or ends to warm up, and of the steps."""

    @abstractmethod
    def pace_changed(self, change: PaceChange) -> None: ...


class _Lifetime(NamedTuple):
    """Tells a start or a return of an upstream from what was seen before."""

    started_ms: int
    evacuation_ended_at_s: float | None


class _Pace:
    """The share of one upstream, and its answers since the last change of it."""

    __slots__ = (
        "changed_at_s",
        "completed_at_s",
        "counts",
        "in_flight_by_host",
        "samples_by_host",
        "share",
    )

    def __init__(self, share: float, now_s: float):
        self.share = share
        self.changed_at_s = now_s
        self.completed_at_s: float | None = None
        self.in_flight_by_host: dict[Address, int] = {}
        self._clear()

    def _clear(self) -> None:
        self.counts = [0] * BUCKETS
        self.samples_by_host: Counter[Address] = Counter()

    def set(self, share: float, now_s: float) -> None:
        self.share = share
        self.changed_at_s = now_s
        if share >= 1.0:
            self.completed_at_s = now_s
        self._clear()

    def is_waiting(self) -> bool:
        """Whether the upstream has requests to answer, as far as hosts have told."""
        return any(self.in_flight_by_host.values())

    def add(self, host: Address, row: UpstreamReport) -> None:
        self.in_flight_by_host[host] = row.in_flight
        remaining = MAX_SAMPLES_PER_HOST - self.samples_by_host[host]
        for bucket, count in enumerate(row.counts):
            added = min(count, remaining)
            self.counts[bucket] += added
            self.samples_by_host[host] += added
            remaining -= added


class WarmupPacer:
    """Finds the shares of the upstreams of a reader's zone that warm up."""

    def __init__(
        self,
        zone: ZoneId,
        directory: UpstreamDirectory,
        config: ConfigView,
        observer: PaceObserver,
    ):
        self._zone = zone
        self._directory = directory
        self._config = config
        self._observer = observer
        self._recoveries = RecoveryDetector()
        self._paces: dict[Tag, _Pace] = {}
        self._lifetimes: dict[Tag, _Lifetime] = {}
        self._absent: set[Tag] = set()
        self._returned_at_s: dict[Tag, float] = {}
        self._window: deque[tuple[float, HostReport]] = deque()
        self._computed_at_s = float("-inf")

    def add_report(self, host: Address, report: HostReport, now_s: float) -> None:
        if _is_troubled(report):
            return
        self._recoveries.add_report(host, report, now_s)
        self._window.append((now_s, report))
        while now_s - self._window[0][0] > WINDOW_S:
            self._window.popleft()
        for row in report:
            pace = self._paces.get(row.tag)
            if pace is not None:
                pace.add(host, row)

    def shares(self, in_force: Mapping[Tag, float], now_s: float) -> dict[Tag, float]:
        """The fractions of an even share for the upstreams that warm up.

        ``in_force`` holds the shares that another reader has handed out; a new reader
        goes on with them.
        """
        if now_s - self._computed_at_s > MAX_GAP_S:
            self._reset()
        self._computed_at_s = now_s
        groups = self._warming_services()
        recovered = self._recoveries.take_recovered()
        for entry in [entry for group in groups.values() for entry in group]:
            self._begin_if_due(entry, entry.tag in recovered, in_force, now_s)
        self._drop_gone({entry.tag for group in groups.values() for entry in group})
        for service, group in groups.items():
            self._step_service(service, group, now_s)
        return {
            tag: share
            for group in groups.values()
            for tag, share in self._even_out(group, now_s).items()
        }

    def returned(self, now_s: float) -> frozenset[Tag]:
        """The upstreams that may have restarted without an entry that tells so yet."""
        self._returned_at_s = {
            tag: returned_at_s
            for tag, returned_at_s in self._returned_at_s.items()
            if now_s - returned_at_s < UNLISTED_START_S
        }
        return frozenset(self._returned_at_s)

    def down(self) -> frozenset[Tag]:
        """The upstreams that may be down, and cold when they answer again."""
        return self._recoveries.down()

    def _reset(self) -> None:
        self._paces.clear()
        self._lifetimes.clear()
        self._absent.clear()
        self._recoveries = RecoveryDetector()

    def _warming_services(self) -> dict[ServiceId, list[DirectoryEntry]]:
        """The eligible entries of the own zone, of services with a warm-up."""
        config = self._config.config
        return {
            warmup.service: [
                entry
                for entry in self._directory.eligible_entries(warmup.service)
                if entry.upstream.zone == self._zone
            ]
            for warmup in (() if config is None else config.warmups)
        }

    def _begin_if_due(
        self,
        entry: DirectoryEntry,
        is_recovered: bool,
        in_force: Mapping[Tag, float],
        now_s: float,
    ) -> None:
        reason = self._reason_to_begin(entry, is_recovered, in_force, now_s)
        upstream = entry.upstream
        self._lifetimes[entry.tag] = _Lifetime(
            upstream.started_ms, entry.evacuation_ended_at_s
        )
        self._absent.discard(entry.tag)
        if reason is None:
            return
        if reason in (PaceReason.RETURNED, PaceReason.RECOVERED):
            self._returned_at_s[entry.tag] = now_s
        share = INITIAL_SHARE
        if reason is PaceReason.RESUMED:
            share = max(MIN_SHARE, min(1.0, in_force[entry.tag]))
        self._paces[entry.tag] = _Pace(share, now_s)
        self._notify(upstream.upstream_id, share, 0, reason)

    def _reason_to_begin(
        self,
        entry: DirectoryEntry,
        is_recovered: bool,
        in_force: Mapping[Tag, float],
        now_s: float,
    ) -> PaceReason | None:
        """Why an upstream begins to warm up now; None if it does not."""
        known = self._lifetimes.get(entry.tag)
        is_cold = self._is_cold(entry, now_s)
        if known is None:
            # A reader that has just begun knows only from the entry who has started.
            if not is_cold:
                return None
            is_named = entry.tag in in_force
            return PaceReason.RESUMED if is_named else PaceReason.STARTED
        if known.started_ms != entry.upstream.started_ms:
            return PaceReason.STARTED
        if known.evacuation_ended_at_s != entry.evacuation_ended_at_s:
            return PaceReason.EVACUATION_ENDED if is_cold else None
        if entry.tag in self._absent:
            return PaceReason.RETURNED
        return PaceReason.RECOVERED if is_recovered else None

    def _drop_gone(self, present: set[Tag]) -> None:
        self._absent |= self._lifetimes.keys() - present
        listed = {entry.tag for entry in self._directory.entries()}
        self._absent &= listed
        self._lifetimes = {
            tag: lifetime for tag, lifetime in self._lifetimes.items() if tag in listed
        }
        self._recoveries.keep_only(listed)
        for tag in self._paces.keys() - present:
            pace = self._paces.pop(tag)
            entry = self._directory.by_tag(tag)
            if entry is not None and pace.completed_at_s is None:
                upstream_id = entry.upstream.upstream_id
                self._notify(upstream_id, pace.share, 0, PaceReason.GONE)

    def _step_service(
        self, service: ServiceId, group: list[DirectoryEntry], now_s: float
    ) -> None:
        typical = self._typical_bucket(service)
        for entry in group:
            pace = self._paces.get(entry.tag)
            if pace is None:
                continue
            if pace.completed_at_s is None:
                self._step(entry, pace, typical, now_s)
            elif self._is_over(entry, pace.completed_at_s, now_s):
                del self._paces[entry.tag]

    def _is_over(
        self, entry: DirectoryEntry, completed_at_s: float, now_s: float
    ) -> bool:
        """Whether no host limits the upstream on its own any more."""
        is_cold = self._is_cold(entry, now_s)
        return not is_cold and now_s - completed_at_s >= SLOW_START_S

    def _is_cold(self, entry: DirectoryEntry, now_s: float) -> bool:
        warmup = self._config.warmup_of(entry.upstream.service)
        return now_s < cold_until_s(entry, warmup)

    def _typical_bucket(self, service: ServiceId) -> int | None:
        """The median of the service, without its warming upstreams if there are others.

        None if there are no answers.
        """
        warm, total = [0] * BUCKETS, [0] * BUCKETS
        for _, report in self._window:
            for row in report:
                entry = self._directory.by_tag(row.tag)
                if entry is None or entry.upstream.service != service:
                    continue
                add_counts(total, row.counts)
                if row.tag not in self._paces:
                    add_counts(warm, row.counts)
        counts = warm if sum(warm) >= MIN_SERVICE_SAMPLES else total
        return median_bucket(counts) if sum(counts) else None

    def _step(
        self, entry: DirectoryEntry, pace: _Pace, typical: int | None, now_s: float
    ) -> None:
        """Change the share of an upstream if its answers allow or demand it."""
        waited_s = now_s - pace.changed_at_s
        is_cold = self._is_cold(entry, now_s)
        reason = _reason_to_step(pace, typical, waited_s, is_cold)
        if reason is None:
            if waited_s >= FEW_SAMPLES_STEP_S and any(pace.counts):
                # A few answers, some of them slow, say nothing about later ones.
                pace.set(pace.share, now_s)
            return
        share = _next_share(pace, typical, reason)
        samples, has_changed = sum(pace.counts), share != pace.share
        pace.set(share, now_s)
        if share >= 1.0:
            reason = PaceReason.COMPLETE
        if has_changed:
            self._notify(entry.upstream.upstream_id, share, samples, reason)

    def _even_out(self, group: list[DirectoryEntry], now_s: float) -> dict[Tag, float]:
        """The shares of a service's upstreams, raised if the warm ones are too few.

        Those of other zones count too: new flows go there if the own zone takes none.
        """
        paces = {
            entry.tag: self._paces[entry.tag].share
            for entry in group
            if entry.tag in self._paces
        }
        total = sum(paces.values())
        if not paces:
            return {}
        warm = len(group) - len(paces) + self._warm_elsewhere(group[0], now_s)
        needed = len(paces) - (MAX_WARM_LOAD - 1.0) * warm
        factor = max(1.0, needed / total)
        return {tag: min(1.0, factor * share) for tag, share in paces.items()}

    def _warm_elsewhere(self, entry: DirectoryEntry, now_s: float) -> int:
        """How many upstreams of the same service in other zones are warm."""
        return sum(
            other.upstream.zone != self._zone and not self._is_cold(other, now_s)
            for other in self._directory.eligible_entries(entry.upstream.service)
        )

    def _notify(
        self, upstream_id: UpstreamId, share: float, samples: int, reason: PaceReason
    ) -> None:
        self._observer.pace_changed(PaceChange(upstream_id, share, samples, reason))


def _reason_to_step(
    pace: _Pace, typical: int | None, waited_s: float, is_cold: bool
) -> PaceReason | None:
    """Why a share should change; None if there is no reason yet."""
    samples = sum(pace.counts)
    if pace.counts[-1]:
        return PaceReason.MISSING_ANSWERS
    limit = BUCKETS if typical is None else typical + SLOW_BUCKETS
    if samples >= MIN_SAMPLES:
        if median_bucket(pace.counts) >= limit:
            return PaceReason.SLOW_ANSWERS
        return PaceReason.FAST_ANSWERS if waited_s >= MIN_STEP_S else None
    is_slow = any(pace.counts[limit:])
    needed_s = FEW_SAMPLES_STEP_S if is_cold else WARM_STEP_S
    if not samples and (is_cold or pace.is_waiting()):
        needed_s = IDLE_STEP_S
    return None if is_slow or waited_s < needed_s else PaceReason.FEW_ANSWERS


def _next_share(pace: _Pace, typical: int | None, reason: PaceReason) -> float:
    """The share that follows a step.

    An upstream that answers four times as slowly as the others can still take a quarter
    of an even share, and shows sooner with it that it has become faster.
    """
    if reason in (PaceReason.FAST_ANSWERS, PaceReason.FEW_ANSWERS):
        return min(1.0, 2.0 * pace.share)
    least = MIN_SHARE
    if reason is PaceReason.SLOW_ANSWERS:
        least = max(MIN_SHARE, 2.0 ** (typical - median_bucket(pace.counts)))
    return min(pace.share, max(least, pace.share / 2.0))


def _is_troubled(report: HostReport) -> bool:
    """Whether a host misses answers of most upstreams, so that its link is at fault."""
    rows = [row for row in report if any(row.counts)]
    troubled = sum(row.counts[-1] > 0 for row in rows)
    return troubled >= TROUBLED_HOST_UPSTREAMS and 2 * troubled > len(rows)
