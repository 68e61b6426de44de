"""Flow steering: forwards each client packet to the upstream of its flow.

Upstreams answer clients directly (direct server return), so a host sees only the
client's half of a flow, and cannot change its content. ``SteeringHost`` runs a host;
``ports`` defines the interfaces that a platform has to implement.
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
from .routes import (
    NO_VERSION,
    ConfigVersion,
    RequestKind,
    Route,
    RouteConfig,
    WarmupSettings,
    WeightedService,
)
from .settings import SteeringSettings
from .upstreams import Listing, Tag, Upstream, UpstreamState

__all__ = [
    "NO_VERSION",
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
    "RequestKind",
    "Route",
    "RouteConfig",
    "ServiceAddress",
    "SteeringHost",
    "SteeringSettings",
    "StoreReader",
    "Tag",
    "Upstream",
    "UpstreamState",
    "WarmupSettings",
    "WeightedService",
]
