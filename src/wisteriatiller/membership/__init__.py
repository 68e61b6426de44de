"""Host membership: SWIM failure detection and gossip dissemination."""

from .membership import Membership
from .swim import SwimMembership

__all__ = ["Membership", "SwimMembership"]
