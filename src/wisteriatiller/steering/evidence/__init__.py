"""Evidence about upstreams: what a host sees, and what its zone finds out together."""

from .findings import (
    FINDINGS_TTL_S,
    NO_FINDINGS,
    FindingsView,
    ServiceLoad,
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
from .slowupstreams import Share, SlowUpstreamDetector
from .upstreamweights import UpstreamWeights
from .zoneevidence import ShareObserver, ZoneEvidence
from .zoneloads import ZoneLoads

__all__ = [
    "BUCKETS",
    "FINDINGS_TTL_S",
    "NO_COUNTS",
    "NO_FINDINGS",
    "NO_PROGRESS_MS",
    "FindingsView",
    "FlowLossDetector",
    "HealthState",
    "HostReport",
    "OutlierDetector",
    "ServiceLoad",
    "Share",
    "ShareObserver",
    "SlowUpstreamDetector",
    "UpstreamHealth",
    "UpstreamRecorder",
    "UpstreamReport",
    "UpstreamWeights",
    "ZoneEvidence",
    "ZoneFindings",
    "ZoneLoads",
]
