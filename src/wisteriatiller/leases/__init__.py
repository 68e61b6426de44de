"""Which host owns a shard of upstreams: leases of a majority of grantors."""

from .grantors import LeaseGrantor
from .grantorviews import GrantorViews
from .lease import MajorityLeases
from .leaserounds import FormerHolder
from .ownership import Ownership
from .shardleases import ShardLeases

__all__ = [
    "FormerHolder",
    "GrantorViews",
    "LeaseGrantor",
    "MajorityLeases",
    "Ownership",
    "ShardLeases",
]
