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
# Upstreams that answer slowly get this share or less; those that are only loaded more
# than others get more.
SLOW_UPSTREAM_SHARE = 0.25


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
        self,
        pool: Sequence[DirectoryEntry],
        flow: FlowKey,
        now_s: float,
        even_count: int | None = None,
    ) -> list[DirectoryEntry]:
        """Return the entries of the pool that may take this flow.

        An even share is one of ``even_count`` for upstreams that are merely loaded more
        than others; by default, one of the whole pool.
        """
        in_zone = Counter(entry.upstream.zone for entry in pool)
        return [
            entry
            for entry in pool
            if hash_fraction(entry, flow)
            < self._probability(
                entry, len(pool), even_count or len(pool), in_zone, now_s
            )
        ]

    def _probability(
        self,
        entry: DirectoryEntry,
        pool_size: int,
        even_count: int,
        in_zone: Counter[ZoneId],
        now_s: float,
    ) -> float:
        """Return the probability that an upstream may take a flow.

        Infinity means that it is not limited. Upstreams that are slow, cold or just
        back may fail again, so that their even share is one of all that are compared.
        """
        share = self._findings.share_of(entry.tag, now_s)
        if self._is_paced(entry, now_s):
            return _draw_limit(share) / in_zone[entry.upstream.zone]
        if self._settings.uses_zone_findings and share > SLOW_UPSTREAM_SHARE:
            by_zone = _draw_limit(share) / even_count
        else:
            by_zone = _unless_full(share) / pool_size
        return min(by_zone, self._local_share(entry, now_s) / pool_size)

    def _local_share(self, entry: DirectoryEntry, now_s: float) -> float:
        """Return the share by what this host knows itself; infinity if it is full."""
        health = self._outliers.health_of(entry.upstream.upstream_id)
        share = health.slow_start_share(now_s)
        listed_ms = 1000.0 * (now_s - entry.presence_since_s)
        if entry.upstream.cold_for_ms > listed_ms:
            return min(share, COLD_UPSTREAM_SHARE)
        return _unless_full(share)

    def _is_paced(self, entry: DirectoryEntry, now_s: float) -> bool:
        """Whether the reader finds the share of this upstream from its answers."""
        if not self._settings.uses_zone_findings:
            return False
        is_configured = self._config.warmup_of(entry.upstream.service) is not None
        return is_configured and self._findings.names_share_of(entry.tag, now_s)


def _unless_full(share: float) -> float:
    """Return a share that limits an upstream; infinity for a full one."""
    return share if share < 1.0 else math.inf


def _draw_limit(share: float) -> float:
    """Return the limit of a draw by hash that leaves an upstream a share.

    Among entries with equally many flows the lowest hash wins, so that one which may
    take a flow still loses it to others. The limit is raised by that, or the step from
    1 to slightly less would cost a third of the flows.
    """
    return math.inf if share >= 1.0 else -math.log(1.0 - share)
