"""Policies that select the upstream of a new flow."""

from .candidates import MAX_SAMPLED_ENTRIES, sample_candidates
from .selector import LeastFlowsSelector, Selection, UpstreamSelector
from .zonespill import SpillPlan, ZoneLoad, ZoneSpill, plan_spill

__all__ = [
    "MAX_SAMPLED_ENTRIES",
    "LeastFlowsSelector",
    "Selection",
    "SpillPlan",
    "UpstreamSelector",
    "ZoneLoad",
    "ZoneSpill",
    "plan_spill",
    "sample_candidates",
]
