"""Gives suspect upstreams single flows as trials, by which they may return."""

from collections.abc import Collection, Sequence

from wisteriatiller.ids import UpstreamId, ZoneId

from ..directory import DirectoryEntry
from ..evidence import HealthState, OutlierDetector, UpstreamHealth
from .warmuplimit import WarmupLimit


class TrialPolicy:
    """Decides which suspect is tried with a new flow."""

    def __init__(
        self, zone: ZoneId, outliers: OutlierDetector, warmup_limit: WarmupLimit
    ):
        self._zone = zone
        self._outliers = outliers
        self._warmup_limit = warmup_limit

    def pick(
        self,
        pool: Sequence[DirectoryEntry],
        excluded: Collection[UpstreamId],
        is_burst: bool,
        now_s: float,
    ) -> DirectoryEntry | None:
        """Return a suspect that is due for a trial with one new flow, if any.

        A flow that another upstream has already delayed is not used as a trial.
        """
        if excluded:
            return None
        has_local = any(entry.upstream.zone == self._zone for entry in pool)
        for entry in pool:
            health = self._outliers.health_of(entry.upstream.upstream_id)
            if not self._is_due(entry, health, now_s):
                continue
            is_needed = entry.upstream.zone == self._zone or not has_local
            # A burst needs the other zones too. An old suspicion may stem from a
            # partition that has healed since.
            if is_needed or (is_burst and health.is_suspicion_stale(now_s)):
                health.record_trial(now_s)
                return entry
        return None

    def _is_due(
        self, entry: DirectoryEntry, health: UpstreamHealth, now_s: float
    ) -> bool:
        """Whether an upstream is a suspect that may be tried now."""
        if health.state is not HealthState.SUSPECT or not health.is_trial_due(now_s):
            return False
        suspected_for_s = health.suspected_for_s(now_s)
        return self._warmup_limit.allows_trial(entry, suspected_for_s, now_s)
