"""What one host has seen of each upstream, in the form in which it reports it.

In a large zone one host sees less than one request to an upstream in several seconds,
too few to judge it. Therefore each host reports to its reader what its own packets have
shown, and the reader aggregates the reports of its zone.
"""

from collections.abc import Iterable
from typing import NamedTuple

from wisteriatiller.ids import UpstreamId

from ..flowtable import Flow
from ..upstreams import Tag, upstream_tag

# Upper limits of the buckets. One more bucket holds longer waits and missing answers.
BUCKET_LIMITS_MS = (16, 32, 64, 128, 256, 512, 1024)
BUCKETS = len(BUCKET_LIMITS_MS) + 1
NO_COUNTS = (0,) * BUCKETS
# Limits a report, which is part of a request's URL, to a few kilobytes.
MAX_REPORTED_UPSTREAMS = 64
# The age of progress that a host has never seen, or saw too long ago to matter.
NO_PROGRESS_MS = -1
MAX_PROGRESS_AGE_MS = 10_000
# Clients give up sooner, so an older request has been abandoned without a packet.
MAX_PENDING_S = 10.0
# An upstream that queues a few requests for each slot answers or rejects most of them
# sooner. An older request may have been answered through another host: the routers move
# nearly all flows when a host joins or leaves.
MAX_QUEUED_S = 0.7
# A request without an answer for longer has been given up, or its flow has moved.
MAX_UNANSWERED_S = 2.0
# A client that has repeated its data twice has waited for more than half a second.
SILENT_REPEATS = 2
# Clients double the interval between repeats: the second comes 0.6 s after the request
# and the third 0.8 s later. One that is overdue has given up without a packet.
MAX_REPEAT_INTERVAL_FACTOR = 1.5


class UpstreamReport(NamedTuple):
    """What a host has seen of one upstream.

    ``counts`` is the histogram of response times since the last report.
    ``in_flight`` is the number of requests without an answer at present, but for those
    that have waited longer than in a usual queue, ``unanswered`` the same with those,
    and
    ``silent_flows`` that of the flows whose client has repeated such a request
    ``SILENT_REPEATS`` times and goes on. ``progress_age_ms`` is the time since any flow
    of the upstream has progressed, or ``NO_PROGRESS_MS``. ``openings`` is the number of
    opening packets that were forwarded since the last report, and ``failed_openings``
    of those that the client did not follow up.
    """

    tag: Tag
    counts: tuple[int, ...] = NO_COUNTS
    in_flight: int = 0
    silent_flows: int = 0
    progress_age_ms: int = NO_PROGRESS_MS
    openings: int = 0
    failed_openings: int = 0
    unanswered: int = 0


HostReport = tuple[UpstreamReport, ...]


def bucket_index(waited_s: float) -> int:
    """The index of the bucket that counts a wait.

    >>> bucket_index(0.05)
    2
    """
    waited_ms = 1000.0 * waited_s
    return sum(waited_ms > limit_ms for limit_ms in BUCKET_LIMITS_MS)


class _Activity:
    """The counts of one upstream since the last report."""

    __slots__ = ("counts", "failed_openings", "openings", "progress_at_s")

    def __init__(self):
        self.counts: list[int] | None = None
        self.openings = 0
        self.failed_openings = 0
        self.progress_at_s = float("-inf")

    def reset(self) -> None:
        self.counts = None
        self.openings = self.failed_openings = 0


class UpstreamRecorder:
    """Records what this host sees of upstreams until its next report.

    ``reports_activity`` adds what findings of the zone are computed from. Without it a
    report holds response times only.
    """

    def __init__(self, reports_activity: bool = False):
        self._reports_activity = reports_activity
        self._activities: dict[UpstreamId, _Activity] = {}
        self._pending: dict[int, Flow] = {}
        self._is_suspended = False

    def suspend(self) -> None:
        """Report nothing until ``resume``, since answers may not have been read."""
        self._is_suspended = self._reports_activity

    def resume(self) -> None:
        self._is_suspended = False

    def record_answer(self, upstream_id: UpstreamId, waited_s: float) -> None:
        self._count(upstream_id, bucket_index(waited_s))

    def record_timeout(self, upstream_id: UpstreamId) -> None:
        """Count a request or an opening packet that got no answer in time."""
        self._count(upstream_id, BUCKETS - 1)

    def record_opening(self, upstream_id: UpstreamId) -> None:
        """Count an opening packet that was forwarded to an upstream."""
        self._activity(upstream_id).openings += 1

    def record_failed_opening(self, upstream_id: UpstreamId) -> None:
        """Count an opening packet that the client did not follow up."""
        self._activity(upstream_id).failed_openings += 1

    def record_progress(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Record a sign of life of an upstream."""
        self._activity(upstream_id).progress_at_s = now_s

    def record_request(self, flow: Flow) -> None:
        """Follow a request of a flow until it is answered."""
        self._pending[id(flow)] = flow

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop what is known of an upstream that is gone."""
        self._activities.pop(upstream_id, None)

    def take_report(self, now_s: float) -> HostReport:
        """Return what was seen, and reset the counts; a lost report is not repeated."""
        if not self._reports_activity:
            return self._take_response_times()
        if self._is_suspended:
            return ()
        reports = self._reports_of_activity(now_s)
        for upstream_id, flows in self._pending_by_upstream(now_s).items():
            tag = upstream_tag(upstream_id)
            report = reports.get(tag) or UpstreamReport(tag)
            reports[tag] = report._replace(
                in_flight=sum(
                    flow.has_pending_request(now_s, MAX_QUEUED_S) for flow in flows
                ),
                unanswered=sum(
                    flow.has_pending_request(now_s, MAX_UNANSWERED_S) for flow in flows
                ),
                silent_flows=sum(_is_repeating(flow, now_s) for flow in flows),
            )
        return _most_important(reports.values())

    def _take_response_times(self) -> HostReport:
        """Report response times only, and keep nothing else."""
        activities, self._activities = self._activities, {}
        self._pending.clear()
        reports = (
            UpstreamReport(upstream_tag(upstream_id), tuple(activity.counts))
            for upstream_id, activity in activities.items()
            if activity.counts is not None
        )
        return tuple(reports)[:MAX_REPORTED_UPSTREAMS]

    def _reports_of_activity(self, now_s: float) -> dict[Tag, UpstreamReport]:
        reports = {}
        for upstream_id, activity in list(self._activities.items()):
            age_ms = 1000.0 * (now_s - activity.progress_at_s)
            is_recent = age_ms <= MAX_PROGRESS_AGE_MS
            tag = upstream_tag(upstream_id)
            report = UpstreamReport(
                tag,
                NO_COUNTS if activity.counts is None else tuple(activity.counts),
                progress_age_ms=round(age_ms) if is_recent else NO_PROGRESS_MS,
                openings=activity.openings,
                failed_openings=activity.failed_openings,
            )
            if report == UpstreamReport(tag):
                del self._activities[upstream_id]
                continue
            reports[tag] = report
            activity.reset()
        return reports

    def _pending_by_upstream(self, now_s: float) -> dict[UpstreamId, list[Flow]]:
        """Return the flows with a pending request, and stop to follow all others."""
        by_upstream: dict[UpstreamId, list[Flow]] = {}
        for key, flow in list(self._pending.items()):
            if not flow.has_pending_request(now_s, MAX_PENDING_S):
                del self._pending[key]
                continue
            by_upstream.setdefault(flow.upstream_id, []).append(flow)
        return by_upstream

    def _count(self, upstream_id: UpstreamId, bucket: int) -> None:
        activity = self._activity(upstream_id)
        if activity.counts is None:
            activity.counts = [0] * BUCKETS
        activity.counts[bucket] += 1

    def _activity(self, upstream_id: UpstreamId) -> _Activity:
        found = self._activities.get(upstream_id)
        if found is None:
            found = self._activities[upstream_id] = _Activity()
        return found


def _progress_age_ms(report: UpstreamReport) -> int:
    has_progress = report.progress_age_ms != NO_PROGRESS_MS
    return report.progress_age_ms if has_progress else MAX_PROGRESS_AGE_MS


def _is_repeating(flow: Flow, now_s: float) -> bool:
    """Whether the client still repeats a request: its next packet is not overdue."""
    repeated_after_s = flow.last_seen_s - flow.asked_at_s
    since_s = now_s - flow.last_seen_s
    is_due = since_s > MAX_REPEAT_INTERVAL_FACTOR * repeated_after_s
    return flow.stalled_repeats >= SILENT_REPEATS and not is_due


def _most_important(reports: Iterable[UpstreamReport]) -> HostReport:
    """Limit a report to the upstreams that show the most trouble, then activity."""
    ranked = sorted(
        reports,
        key=lambda report: (
            -report.silent_flows,
            -report.failed_openings,
            -report.in_flight,
            -report.openings,
            _progress_age_ms(report),
            report.tag,
        ),
    )
    return tuple(ranked[:MAX_REPORTED_UPSTREAMS])
