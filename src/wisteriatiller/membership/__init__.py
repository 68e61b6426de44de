"""Which hosts are alive: SWIM and gossip among the hosts."""

from .membership import Membership
from .swim import SwimMembership

__all__ = ["Membership", "SwimMembership"]
