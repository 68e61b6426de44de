"""Limits the share of new flows of upstreams that are cold, slow or just back."""

import math
from collections.abc import Sequence

from wisteriatiller.ids import FlowKey

from ..directory import DirectoryEntry
from ..evidence import FindingsView, OutlierDetector
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
        outliers: OutlierDetector,
        findings: FindingsView,
    ):
        self._uses_zone_findings = settings.uses_zone_findings
        self._outliers = outliers
        self._findings = findings

    def filter(
        self,
        pool: Sequence[DirectoryEntry],
        flow: FlowKey,
        now_s: float,
        even_count: int | None = None,
    ) -> list[DirectoryEntry]:
        """Return the entries of the pool that may take this flow.

        An even share is one of ``even_count``; by default, one of the whole pool.
        """
        count = even_count or len(pool)
        return [
            entry
            for entry in pool
            if hash_fraction(entry, flow) * count < self._share(entry, now_s)
        ]

    def _share(self, entry: DirectoryEntry, now_s: float) -> float:
        """Return the fraction of an even share that an upstream may take.

        Infinity means that the upstream is not limited.
        """
        health = self._outliers.health_of(entry.upstream.upstream_id)
        share = min(self._share_by_zone(entry, now_s), health.slow_start_share(now_s))
        listed_ms = 1000.0 * (now_s - entry.presence_since_s)
        if entry.upstream.cold_for_ms > listed_ms:
            return min(share, COLD_UPSTREAM_SHARE)
        return share if share < 1.0 else math.inf

    def _share_by_zone(self, entry: DirectoryEntry, now_s: float) -> float:
        """Return the fraction that the zone's reader has found, for a draw by hash.

        Among entries with equally many flows the lowest hash wins, so that one which
        may take a flow still loses it to others. The fraction is raised by that, or
        the step from 1 to slightly less would cost a third of the flows.
        """
        share = self._findings.share_of(entry.tag, now_s)
        if share >= 1.0 or not self._uses_zone_findings:
            return share
        return -math.log(1.0 - share)
