"""Limits the share of new flows of upstreams that are cold, slow or just back."""

import math
from collections.abc import Sequence

from wisteriatiller.ids import FlowKey

from ..directory import DirectoryEntry
from ..evidence import FindingsView, OutlierDetector
from .candidates import hash_fraction

# Speed of a cold upstream relative to a warm one, approximately.
COLD_UPSTREAM_SHARE = 0.6


class SlowStart:
    """Filters out upstreams in slow start, except for their share of the flows.

    New, returned and slow upstreams have the fewest open flows, and would get all new
    ones while they are still slow. A share is a probability for each flow, so that the
    hosts of a zone do not all turn away from an upstream at once.
    """

    def __init__(self, outliers: OutlierDetector, findings: FindingsView):
        self._outliers = outliers
        self._findings = findings

    def filter(
        self, pool: Sequence[DirectoryEntry], flow: FlowKey, now_s: float
    ) -> list[DirectoryEntry]:
        """Return the entries of the pool that may take this flow."""
        return [
            entry
            for entry in pool
            if hash_fraction(entry, flow) * len(pool) < self._share(entry, now_s)
        ]

    def _share(self, entry: DirectoryEntry, now_s: float) -> float:
        """Return the fraction of an even share that an upstream may take.

        Infinity means that the upstream is not limited.
        """
        health = self._outliers.health_of(entry.upstream.upstream_id)
        share = min(
            self._findings.share_of(entry.tag, now_s), health.slow_start_share(now_s)
        )
        listed_ms = 1000.0 * (now_s - entry.presence_since_s)
        if entry.upstream.cold_for_ms > listed_ms:
            return min(share, COLD_UPSTREAM_SHARE)
        return share if share < 1.0 else math.inf
