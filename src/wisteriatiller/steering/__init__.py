"""Flow steering: decides which upstream gets each packet of a client.

Clients and upstreams speak to each other directly; a host sees the clients' half and
cannot change what they say. ``SteeringHost`` runs a host, and ``ports`` names what it
needs from the platform.
"""

from .host import Readiness, SteeringHost
from .packets import (
    Decision,
    Discard,
    DiscardReason,
    Forward,
    Packet,
    PacketKind,
    RefusalReason,
    Refuse,
    ServiceAddress,
)
from .ports import PacketCodec, StoreReader
from .routes import ConfigVersion, Route, RouteConfig, WeightedService
from .settings import SteeringSettings
from .upstreams import Listing, Tag, Upstream, UpstreamState

__all__ = [
    "ConfigVersion",
    "Decision",
    "Discard",
    "DiscardReason",
    "Forward",
    "Listing",
    "Packet",
    "PacketCodec",
    "PacketKind",
    "Readiness",
    "RefusalReason",
    "Refuse",
    "Route",
    "RouteConfig",
    "ServiceAddress",
    "SteeringHost",
    "SteeringSettings",
    "StoreReader",
    "Tag",
    "Upstream",
    "UpstreamState",
    "WeightedService",
]
