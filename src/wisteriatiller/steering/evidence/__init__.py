"""Evidence about upstreams: what a host sees, and what its zone finds out together."""

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
from .zoneevidence import ShareObserver, ZoneEvidence
from .zoneloads import ZoneLoads

__all__ = [
    "BUCKETS",
    "FINDINGS_TTL_S",
    "NO_COUNTS",
    "NO_FINDINGS",
    "NO_PROGRESS_MS",
    "EndReason",
    "FindingsView",
    "FlowLossDetector",
    "HealthState",
    "HostReport",
    "OutlierDetector",
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
    "ZoneEvidence",
    "ZoneFindings",
    "ZoneLoads",
]
