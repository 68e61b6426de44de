"""Policies that select the upstream of a new flow."""

from .admission import AdmissionObserver, AdmissionPolicy
from .candidates import MAX_SAMPLED_ENTRIES, sample_candidates
from .selector import LeastFlowsSelector, Selection, UpstreamSelector
from .warmuplimit import WarmupLimit
from .zonespill import SpillPlan, ZoneLoad, ZoneSpill, plan_spill

__all__ = [
    "MAX_SAMPLED_ENTRIES",
    "AdmissionObserver",
    "AdmissionPolicy",
    "LeastFlowsSelector",
    "Selection",
    "SpillPlan",
    "UpstreamSelector",
    "WarmupLimit",
    "ZoneLoad",
    "ZoneSpill",
    "plan_spill",
    "sample_candidates",
]
