"""Which host owns a shard of upstreams: leases of a majority of grantors."""

from .grantors import LeaseGrantor
from .grantorviews import GrantorViews
from .lease import FormerHolder, MajorityLeases, ShardLeases
from .ownership import Ownership

__all__ = [
    "FormerHolder",
    "GrantorViews",
    "LeaseGrantor",
    "MajorityLeases",
    "Ownership",
    "ShardLeases",
]
