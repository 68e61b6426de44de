"""Policies that select the upstream of a new flow."""

from .candidates import MAX_SAMPLED_ENTRIES, sample_candidates
from .selector import LeastFlowsSelector, Selection, UpstreamSelector
from .warmuplimit import WarmupLimit

__all__ = [
    "MAX_SAMPLED_ENTRIES",
    "LeastFlowsSelector",
    "Selection",
    "UpstreamSelector",
    "WarmupLimit",
    "sample_candidates",
]
