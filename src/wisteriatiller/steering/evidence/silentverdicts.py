"""Decides whether a host acts on the verdict that an upstream is silent."""

from ..directory import DirectoryEntry
from ..upstreams import Tag
from .findings import FindingsView, SilentUpstream
from .outlierdetection import OutlierDetector

# Ages are sent in whole milliseconds, so that the last progress may seem a little newer
# than the silence that began with it.
ROUNDING_TOLERANCE_S = 0.05


class SilentVerdicts:
    """The verdicts of the findings, but for those that this host knows to be wrong."""

    def __init__(self, findings: FindingsView, outliers: OutlierDetector):
        self._findings = findings
        self._outliers = outliers

    def has_any(self, now_s: float) -> bool:
        return bool(self._findings.current(now_s).silent)

    def tags(self, now_s: float) -> frozenset[Tag]:
        return self._findings.current(now_s).silent

    def verdict_on(self, entry: DirectoryEntry, now_s: float) -> SilentUpstream | None:
        """The verdict on an upstream, unless it is about another lifetime.

        Nor does a verdict hold if this host has seen progress within the silence; the
        host's next report then ends it for all.
        """
        verdict = self._findings.silent_upstream(entry.tag, now_s)
        if verdict is None or verdict.started_ms != entry.upstream.started_ms:
            return None
        if not entry.takes_new_flows():
            return None
        health = self._outliers.health_of(entry.upstream.upstream_id)
        silent_since_s = now_s - verdict.silent_ms / 1000.0
        has_answered = health.last_progress_at_s > silent_since_s + ROUNDING_TOLERANCE_S
        return None if has_answered else verdict
