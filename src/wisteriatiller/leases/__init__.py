"""Which host owns a shard of upstreams: leases of a majority of grantors."""

from .grantors import LeaseGrantor
from .grantorviews import GrantorViews
from .lease import MajorityLeases, ShardLeases
from .leaserounds import FormerHolder
from .ownership import Ownership

__all__ = [
    "FormerHolder",
    "GrantorViews",
    "LeaseGrantor",
    "MajorityLeases",
    "Ownership",
    "ShardLeases",
]
