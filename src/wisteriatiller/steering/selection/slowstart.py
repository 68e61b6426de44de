"""Limits the share of new flows of upstreams that are cold, slow or just back."""

import math
from collections import Counter
from collections.abc import Sequence

from wisteriatiller.ids import FlowKey, ZoneId

from ..directory import DirectoryEntry
from ..evidence import FindingsView, OutlierDetector
from ..routes import ConfigView
from ..settings import SteeringSettings
from .candidates import hash_fraction

# Speed of a cold upstream relative to a warm one, approximately.
COLD_UPSTREAM_SHARE = 0.6


class SlowStart:
    """Filters out upstreams in slow start, except for their share of the flows.

    New, returned and slow upstreams have the fewest open flows, and would get all new
    ones while they are still slow. A share is a probability for each flow, so that the
    hosts of a zone do not all turn away from an upstream at once.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        config: ConfigView,
        outliers: OutlierDetector,
        findings: FindingsView,
    ):
        self._settings = settings
        self._config = config
        self._outliers = outliers
        self._findings = findings

    def filter(
        self, pool: Sequence[DirectoryEntry], flow: FlowKey, now_s: float
    ) -> list[DirectoryEntry]:
        """Return the entries of the pool that may take this flow."""
        in_zone = Counter(entry.upstream.zone for entry in pool)
        return [
            entry
            for entry in pool
            if hash_fraction(entry, flow) * self._count_for(entry, pool, in_zone, now_s)
            < self._share(entry, now_s)
        ]

    def _count_for(
        self,
        entry: DirectoryEntry,
        pool: Sequence[DirectoryEntry],
        in_zone: Counter[ZoneId],
        now_s: float,
    ) -> int:
        """Among how many upstreams a share of this one is even.

        Flows stay in their zone, so a paced share counts among its upstreams.
        """
        if self._is_paced(entry, now_s):
            return in_zone[entry.upstream.zone]
        return len(pool)

    def _share(self, entry: DirectoryEntry, now_s: float) -> float:
        """Return the fraction of an even share that an upstream may take.

        Infinity means that the upstream is not limited.
        """
        if self._is_paced(entry, now_s):
            share = self._findings.share_of(entry.tag, now_s)
            return share if share < 1.0 else math.inf
        health = self._outliers.health_of(entry.upstream.upstream_id)
        share = min(
            self._findings.share_of(entry.tag, now_s), health.slow_start_share(now_s)
        )
        listed_ms = 1000.0 * (now_s - entry.presence_since_s)
        if entry.upstream.cold_for_ms > listed_ms:
            return min(share, COLD_UPSTREAM_SHARE)
        return share if share < 1.0 else math.inf

    def _is_paced(self, entry: DirectoryEntry, now_s: float) -> bool:
        """Whether the reader finds the share of this upstream from its answers."""
        if not self._settings.uses_zone_findings:
            return False
        is_configured = self._config.warmup_of(entry.upstream.service) is not None
        return is_configured and self._findings.names_share_of(entry.tag, now_s)
