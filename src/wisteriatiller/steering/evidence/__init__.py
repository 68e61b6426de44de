"""Evidence about upstreams: what a host sees, and what its zone finds out together."""

from .coldness import cold_until_s
from .findings import (
    FINDINGS_TTL_S,
    NO_FINDINGS,
    FindingsView,
    ServiceLoad,
    SilentUpstream,
    ZoneFindings,
)
from .flowloss import FlowLossDetector
from .outlierdetection import HealthState, OutlierDetector, UpstreamHealth
from .reports import (
    BUCKETS,
    NO_COUNTS,
    NO_PROGRESS_MS,
    HostReport,
    UpstreamRecorder,
    UpstreamReport,
)
from .silentupstreams import (
    EndReason,
    Silence,
    SilenceObserver,
    SilentUpstreamDetector,
)
from .silentverdicts import SilentVerdicts
from .slowupstreams import Share, SlowUpstreamDetector
from .upstreamweights import UpstreamWeights
from .warmup import PaceChange, PaceObserver, PaceReason, WarmupPacer
from .warmupquotas import (
    LEASE_S,
    QUOTA_WINDOW_S,
    KnownHosts,
    WarmupQuotas,
    flow_limit,
    zone_budget,
)
from .zoneevidence import ShareObserver, ZoneEvidence
from .zoneloads import ZoneLoads

__all__ = [
    "BUCKETS",
    "FINDINGS_TTL_S",
    "LEASE_S",
    "NO_COUNTS",
    "NO_FINDINGS",
    "NO_PROGRESS_MS",
    "QUOTA_WINDOW_S",
    "EndReason",
    "FindingsView",
    "FlowLossDetector",
    "HealthState",
    "HostReport",
    "KnownHosts",
    "OutlierDetector",
    "PaceChange",
    "PaceObserver",
    "PaceReason",
    "ServiceLoad",
    "Share",
    "ShareObserver",
    "Silence",
    "SilenceObserver",
    "SilentUpstream",
    "SilentUpstreamDetector",
    "SilentVerdicts",
    "SlowUpstreamDetector",
    "UpstreamHealth",
    "UpstreamRecorder",
    "UpstreamReport",
    "UpstreamWeights",
    "WarmupPacer",
    "WarmupQuotas",
    "ZoneEvidence",
    "ZoneFindings",
    "ZoneLoads",
    "cold_until_s",
    "flow_limit",
    "zone_budget",
]
