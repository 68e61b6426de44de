"""Ownership of shards of upstreams by leases from a majority of grantors."""

from .grantors import LeaseGrantor
from .grantorviews import GrantorViewManager
from .leaserounds import PreviousHolder
from .majorityleases import MajorityLeases
from .ownership import Ownership
from .shardleases import ShardLeases

__all__ = [
    "GrantorViewManager",
    "LeaseGrantor",
    "MajorityLeases",
    "Ownership",
    "PreviousHolder",
    "ShardLeases",
]
