"""Detects upstreams that stopped responding, from the reports of all hosts of a zone.

A wrong verdict resets flows of a living upstream, so several independent signs have to
agree: requests of several hosts without an answer, opening packets without one, and no
progress that any host has seen. One host sees too little of an upstream to tell.
"""

import math
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from enum import Enum
from heapq import nlargest
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from wisteriatiller.ids import Address, ServiceId, UpstreamId, ZoneId

from ..directory import DirectoryEntry, UpstreamDirectory
from ..upstreams import Tag
from .findings import SilentUpstream
from .reports import (
    BUCKET_LIMITS_MS,
    BUCKETS,
    NO_COUNTS,
    HostReport,
    UpstreamReport,
)
from .slowupstreams import add_counts

# Hosts whose requests have to be unanswered: one host's packets may be lost.
MIN_HOSTS = 3
# A host reports twice in this time; one that does not may be paused or cut off.
MAX_REPORT_AGE_S = 1.2
# A host that has seen progress of no other upstream for this long may be cut off.
MAX_OTHER_PROGRESS_AGE_S = 1.2
# Time without progress before an upstream can be silent.
MIN_QUIET_S = 0.8
# The part of that time for which every host has already reported. Progress since a
# host's last report is unknown, and a slow upstream makes some every half second.
MIN_REPORTED_QUIET_S = 0.5
# A living upstream may need this many times its usual longest response time.
RESPONSE_TIME_FACTOR = 2.0
SERVICE_PERCENTILE = 0.99
OWN_PERCENTILE = 0.9
# Stands for the bucket of the longest response times, which has no upper limit.
LONGEST_RESPONSE_S = 1.5
# Upstreams accept flows while all their slots are busy, so that open flows alone do not
# tell a busy upstream from one that is gone.
MIN_FAILED_OPENINGS = 2
MIN_FAILED_OPENING_HOSTS = 2
# Without failed openings, as when all flows stay open, more requests have to be
# unanswered, and for longer than the longest usual requests take (1.2 s).
MIN_HOSTS_WITHOUT_OPENINGS = 5
MIN_UNANSWERED_WITHOUT_OPENINGS = 12
MIN_QUIET_WITHOUT_OPENINGS_S = 1.5
# Reports of failed openings that are kept for one upstream.
MAX_KEPT_FAILURES = 64
# Pending requests and hosts with failed openings. An upstream that ignores 2 of 5
# requests ignores so many in a row about once in 1,500 times.
MIN_UNANSWERED = 8
# Silent flows of an upstream that progresses nevertheless show that it is overloaded,
# slow or mute to some. It then takes much longer to tell that it is gone.
OUTLIVED_MEMORY_S = 5.0
OUTLIVED_HOSTS = 2
OUTLIVED_QUIET_S = 3.0
# Response times count for this long.
WINDOW_S = 3.0
# Missing answers appear in the last bucket only after this time without progress.
MISSING_ANSWER_S = 0.5
# If more of a zone's upstreams of a service seem silent, its network is at fault.
MAX_SILENT_FRACTION = 1 / 2
# The same time without progress counts for that fraction, so that a cut that begins at
# slightly different times for each upstream is recognized.
MIN_SUSPECT_QUIET_S = 0.5
VERDICT_TTL_S = 10.0
# A delayed report makes old progress seem newer by its delay.
PROGRESS_TOLERANCE_S = 0.25
# Trial hosts change with this interval.
TRIAL_INTERVAL_S = 1.0


class EndReason(Enum):
    """Why an upstream is no longer silent; the values are written to logs."""

    PROGRESS = "progress"
    NEW_LIFETIME = "new_lifetime"
    NOT_LISTED = "not_listed"
    EXPIRED = "expired"
    NETWORK_FAULT = "network_fault"


class Silence(NamedTuple):
    """The verdict that an upstream is silent, and the evidence for it.

    ``quiet_since_s`` is when it last made progress, ``hosts`` and ``flows`` are the
    hosts and flows whose requests had no answer.
    """

    tag: Tag
    upstream_id: UpstreamId
    service: ServiceId
    started_ms: int
    quiet_since_s: float
    decided_at_s: float
    hosts: int
    flows: int
    failed_openings: int


class SilenceObserver(ABC):
    """Is notified when an upstream is judged silent, and when that ends."""

    @abstractmethod
    def upstream_silent(self, silence: Silence) -> None: ...

    @abstractmethod
    def upstream_answers_again(
        self, silence: Silence, reason: EndReason, now_s: float
    ) -> None: ...


class _Report:
    """The report of one host, and when it arrived."""

    __slots__ = ("_newest_progress", "received_at_s", "rows")

    def __init__(self, received_at_s: float, report: HostReport):
        self.received_at_s = received_at_s
        self.rows: Mapping[Tag, UpstreamReport] = {row.tag: row for row in report}
        self._newest_progress: list[tuple[float, Tag]] | None = None

    def is_of_well_host(self, tag: Tag) -> bool:
        """Whether its host had seen progress of another upstream shortly before."""
        if self._newest_progress is None:
            progress = (
                (_progress_at_s(row, self.received_at_s), row.tag)
                for row in self.rows.values()
            )
            # One of the newest two is that of another upstream.
            self._newest_progress = nlargest(2, progress)
        return any(
            self.received_at_s - progress_at_s <= MAX_OTHER_PROGRESS_AGE_S
            for progress_at_s, other in self._newest_progress
            if other != tag
        )


class _FailedOpenings(NamedTuple):
    reported_at_s: float
    host: Address
    count: int


class _Activity:
    """What the hosts of the zone have reported of one upstream.

    Evidence counts from ``evidence_since_s`` on. ``outlived_at_s`` is when it last made
    progress while flows of several hosts were silent.
    """

    __slots__ = (
        "evidence_since_s",
        "failed_openings",
        "outlived_at_s",
        "progress_at_s",
        "silent_since_s",
        "started_ms",
    )

    def __init__(self):
        self.evidence_since_s = -math.inf
        self.failed_openings: deque[_FailedOpenings] = deque(maxlen=MAX_KEPT_FAILURES)
        self.outlived_at_s = -math.inf
        self.progress_at_s = -math.inf
        # When each host first reported the silent flows that it still reports.
        self.silent_since_s: dict[Address, float] = {}
        self.started_ms: int | None = None

    def add(self, host: Address, row: UpstreamReport, now_s: float) -> None:
        self._add_progress(_progress_at_s(row, now_s))
        if row.silent_flows:
            self.silent_since_s.setdefault(host, now_s)
        else:
            self.silent_since_s.pop(host, None)
        if row.failed_openings:
            self.failed_openings.append(
                _FailedOpenings(now_s, host, row.failed_openings)
            )

    def _add_progress(self, progress_at_s: float) -> None:
        if progress_at_s <= self.progress_at_s:
            return
        self.progress_at_s = progress_at_s
        outlived = sum(
            since_s < progress_at_s for since_s in self.silent_since_s.values()
        )
        if outlived >= OUTLIVED_HOSTS:
            self.outlived_at_s = progress_at_s

    def has_failures(self) -> bool:
        """Whether anything has gone unanswered since the last progress."""
        has_failed_openings = (
            bool(self.failed_openings)
            and self.failed_openings[-1].reported_at_s > self.quiet_since_s()
        )
        return has_failed_openings or bool(self.silent_since_s)

    def quiet_since_s(self) -> float:
        return max(self.progress_at_s, self.evidence_since_s)

    def restart(self, now_s: float) -> None:
        """Require new evidence from now on."""
        self.evidence_since_s = now_s
        self.failed_openings.clear()
        self.silent_since_s.clear()


class _Evidence(NamedTuple):
    """What speaks against one upstream at the moment."""

    entry: DirectoryEntry
    quiet_since_s: float
    hosts: int
    flows: int
    in_flight: int
    failed_openings: int
    failed_opening_hosts: int
    has_outlived: bool

    def min_reported_quiet_s(self) -> float | None:
        """How long all hosts have to report no progress; None if signs are missing."""
        unanswered = self.in_flight + self.failed_opening_hosts
        has_failed_openings = (
            self.failed_openings >= MIN_FAILED_OPENINGS
            and self.failed_opening_hosts >= MIN_FAILED_OPENING_HOSTS
        )
        if (
            has_failed_openings
            and self.hosts >= MIN_HOSTS
            and unanswered >= MIN_UNANSWERED
        ):
            return MIN_REPORTED_QUIET_S
        if (
            self.hosts >= MIN_HOSTS_WITHOUT_OPENINGS
            and unanswered >= MIN_UNANSWERED_WITHOUT_OPENINGS
        ):
            return MIN_QUIET_WITHOUT_OPENINGS_S
        return None


class SilentUpstreamDetector:
    """Judges the upstreams of a zone by the reports of the zone's hosts."""

    def __init__(
        self, zone: ZoneId, directory: UpstreamDirectory, observer: SilenceObserver
    ):
        self._zone = zone
        self._directory = directory
        self._observer = observer
        self._activities: dict[Tag, _Activity] = {}
        self._latest: dict[Address, _Report] = {}
        self._window: deque[_Report] = deque()
        self._verdicts: dict[Tag, Silence] = {}
        self._collecting_since_s = -math.inf
        self._received_at_s = -math.inf

    def add_report(self, host: Address, report: HostReport, now_s: float) -> None:
        """Add what a host of the zone reports; an empty report says nothing."""
        if not report:
            return
        self._note_gap(now_s)
        received = _Report(now_s, report)
        previous = self._latest.get(host)
        if previous is not None:
            self._forget_silent_flows(host, previous.rows.keys() - received.rows.keys())
        self._latest[host] = received
        self._window.append(received)
        for row in report:
            activity = self._activities.get(row.tag)
            if activity is None:
                activity = self._activities[row.tag] = _Activity()
            activity.add(host, row, now_s)

    def progress_at_s(self, tag: Tag) -> float:
        """When a host of this zone last saw progress of an upstream of any zone."""
        activity = self._activities.get(tag)
        return -math.inf if activity is None else activity.progress_at_s

    def update(self, now_s: float) -> None:
        """End the verdicts that no longer hold, and judge all upstreams anew."""
        self._drop_old(now_s)
        self._note_lifetimes(now_s)
        self._end_verdicts(now_s)
        suspects = [
            evidence
            for tag in self._tags_with_failures()
            if (evidence := self._evidence_against(tag, now_s)) is not None
        ]
        faulty = self._services_with_network_fault(suspects)
        for silence in list(self._verdicts.values()):
            if silence.service in faulty:
                self._end(silence, EndReason.NETWORK_FAULT, now_s)
        judged = [
            evidence
            for evidence in suspects
            if evidence.entry.upstream.service not in faulty
            and self._has_signs(evidence, now_s)
        ]
        answers = self._count_answers() if judged else {}
        for evidence in judged:
            required_s = self._required_quiet_s(evidence, answers)
            if now_s - evidence.quiet_since_s >= required_s:
                self._decide(evidence, now_s)

    def silent_upstreams(self, now_s: float) -> tuple[SilentUpstream, ...]:
        """The verdicts in force, each with the host that tries the upstream now."""
        trial_number = int(now_s / TRIAL_INTERVAL_S)
        return tuple(
            SilentUpstream(
                tag=tag,
                started_ms=silence.started_ms,
                silent_ms=round(1000.0 * (now_s - silence.quiet_since_s)),
                trial_host=self._trial_host(tag, trial_number),
                trial_number=trial_number,
            )
            for tag, silence in self._verdicts.items()
        )

    def _trial_host(self, tag: Tag, number: int) -> Address | None:
        """Choose one of the hosts that have reported lately."""
        return max(
            self._latest,
            key=lambda host: xxh3_64_intdigest(f"{host} {tag} {number}".encode()),
            default=None,
        )

    def _forget_silent_flows(self, host: Address, tags: Iterable[Tag]) -> None:
        for tag in tags:
            if tag in self._activities:
                self._activities[tag].silent_since_s.pop(host, None)

    def _note_gap(self, now_s: float) -> None:
        """Start over if no host has reported for long, as after a pause."""
        if now_s - self._received_at_s > MAX_REPORT_AGE_S:
            self._collecting_since_s = now_s
        self._received_at_s = now_s

    def _drop_old(self, now_s: float) -> None:
        while self._window and now_s - self._window[0].received_at_s > WINDOW_S:
            self._window.popleft()
        old = [
            host
            for host, report in self._latest.items()
            if now_s - report.received_at_s > MAX_REPORT_AGE_S
        ]
        for host in old:
            del self._latest[host]
            for activity in self._activities.values():
                activity.silent_since_s.pop(host, None)
        for tag in [tag for tag in self._activities if not self._directory.by_tag(tag)]:
            if tag not in self._verdicts:
                del self._activities[tag]

    def _note_lifetimes(self, now_s: float) -> None:
        for tag, activity in self._activities.items():
            entry = self._directory.by_tag(tag)
            if entry is None or entry.upstream.started_ms == activity.started_ms:
                continue
            if activity.started_ms is not None:
                activity.restart(now_s)
            activity.started_ms = entry.upstream.started_ms

    def _end_verdicts(self, now_s: float) -> None:
        for silence in list(self._verdicts.values()):
            reason = self._end_reason(silence, now_s)
            if reason is not None:
                self._end(silence, reason, now_s)

    def _end_reason(self, silence: Silence, now_s: float) -> EndReason | None:
        entry = self._directory.by_tag(silence.tag)
        if entry is None or not entry.takes_new_flows():
            return EndReason.NOT_LISTED
        if entry.upstream.started_ms != silence.started_ms:
            return EndReason.NEW_LIFETIME
        progress_at_s = self._activities[silence.tag].progress_at_s
        if progress_at_s > silence.quiet_since_s + PROGRESS_TOLERANCE_S:
            return EndReason.PROGRESS
        is_expired = now_s - silence.decided_at_s >= VERDICT_TTL_S
        return EndReason.EXPIRED if is_expired else None

    def _end(self, silence: Silence, reason: EndReason, now_s: float) -> None:
        del self._verdicts[silence.tag]
        self._activities[silence.tag].restart(now_s)
        self._observer.upstream_answers_again(silence, reason, now_s)

    def _tags_with_failures(self) -> list[Tag]:
        return [
            tag
            for tag, activity in self._activities.items()
            if activity.has_failures() and tag not in self._verdicts
        ]

    def _evidence_against(self, tag: Tag, now_s: float) -> _Evidence | None:
        """The evidence against an upstream of this zone, if it seems silent at all."""
        entry = self._directory.by_tag(tag)
        is_judged = (
            entry is not None
            and entry.upstream.zone == self._zone
            and entry.takes_new_flows()
        )
        activity = self._activities[tag]
        quiet_since_s = max(activity.quiet_since_s(), self._collecting_since_s)
        if not is_judged or now_s - quiet_since_s < MIN_SUSPECT_QUIET_S:
            return None
        silent_rows = [
            report.rows[tag]
            for host, report in self._latest.items()
            if host in activity.silent_since_s and report.is_of_well_host(tag)
        ]
        failed = [
            failed
            for failed in activity.failed_openings
            if failed.reported_at_s > quiet_since_s
        ]
        return _Evidence(
            entry=entry,
            quiet_since_s=quiet_since_s,
            hosts=len(silent_rows),
            flows=sum(row.silent_flows for row in silent_rows),
            in_flight=sum(
                report.rows[tag].unanswered
                for report in self._latest.values()
                if tag in report.rows
            ),
            failed_openings=sum(failure.count for failure in failed),
            failed_opening_hosts=len({failure.host for failure in failed}),
            has_outlived=quiet_since_s - activity.outlived_at_s < OUTLIVED_MEMORY_S,
        )

    def _services_with_network_fault(
        self, suspects: Iterable[_Evidence]
    ) -> set[ServiceId]:
        counts = Counter(silence.service for silence in self._verdicts.values())
        counts.update(evidence.entry.upstream.service for evidence in suspects)
        return {
            service
            for service, count in counts.items()
            if count > MAX_SILENT_FRACTION * self._listed_upstreams(service)
        }

    def _listed_upstreams(self, service: ServiceId) -> int:
        return sum(
            entry.upstream.zone == self._zone
            for entry in self._directory.entries()
            if entry.upstream.service == service and entry.takes_new_flows()
        )

    def _has_signs(self, evidence: _Evidence, now_s: float) -> bool:
        """Whether an upstream seems silent, whatever its response times are."""
        min_reported_quiet_s = evidence.min_reported_quiet_s()
        if min_reported_quiet_s is None:
            return False
        reported_until_s = min(report.received_at_s for report in self._latest.values())
        is_reported = reported_until_s - evidence.quiet_since_s >= min_reported_quiet_s
        return is_reported and now_s - evidence.quiet_since_s >= MIN_QUIET_S

    def _required_quiet_s(
        self, evidence: _Evidence, answers: Mapping[Tag, list[int]]
    ) -> float:
        tag, service = evidence.entry.tag, evidence.entry.upstream.service
        service_counts = [0] * BUCKETS
        for other, counts in answers.items():
            if self._service_of(other) == service:
                add_counts(service_counts, counts)
        longest_s = max(
            _percentile_s(service_counts, SERVICE_PERCENTILE),
            _percentile_s(answers.get(tag, service_counts), OWN_PERCENTILE),
        )
        return max(
            MIN_QUIET_S,
            RESPONSE_TIME_FACTOR * longest_s,
            OUTLIVED_QUIET_S if evidence.has_outlived else 0.0,
        )

    def _count_answers(self) -> dict[Tag, list[int]]:
        """The histograms of the response times in the window."""
        found: dict[Tag, list[int]] = {}
        for report in self._window:
            for row in report.rows.values():
                if row.counts is not NO_COUNTS and any(row.counts):
                    counts = found.setdefault(row.tag, [0] * BUCKETS)
                    add_counts(counts, self._answers(row, report.received_at_s))
        return found

    def _answers(self, row: UpstreamReport, received_at_s: float) -> list[int]:
        """The response times of a report, without the answers that are missing.

        The last bucket also counts missing answers and failed openings. Those of
        an upstream that has progressed since are slow answers, as far as is known.
        """
        counts = list(row.counts)
        is_quiet = received_at_s > self.progress_at_s(row.tag) + MISSING_ANSWER_S
        counts[-1] = 0 if is_quiet else max(0, counts[-1] - row.failed_openings)
        return counts

    def _service_of(self, tag: Tag) -> ServiceId | None:
        entry = self._directory.by_tag(tag)
        return None if entry is None else entry.upstream.service

    def _decide(self, evidence: _Evidence, now_s: float) -> None:
        upstream = evidence.entry.upstream
        silence = Silence(
            tag=evidence.entry.tag,
            upstream_id=upstream.upstream_id,
            service=upstream.service,
            started_ms=upstream.started_ms,
            quiet_since_s=evidence.quiet_since_s,
            decided_at_s=now_s,
            hosts=evidence.hosts,
            flows=evidence.flows,
            failed_openings=evidence.failed_openings,
        )
        self._verdicts[silence.tag] = silence
        self._observer.upstream_silent(silence)


def _progress_at_s(row: UpstreamReport, received_at_s: float) -> float:
    if row.progress_age_ms < 0:
        return -math.inf
    return received_at_s - row.progress_age_ms / 1000.0


def _percentile_s(counts: list[int], fraction: float) -> float:
    """The upper limit of the bucket that holds a percentile; 0 without samples."""
    total = sum(counts)
    reached = 0
    for count, limit_ms in zip(counts, BUCKET_LIMITS_MS, strict=False):
        reached += count
        if reached >= fraction * total:
            return limit_ms / 1000.0 if total else 0.0
    return LONGEST_RESPONSE_S
