"""Packets of flows, and what is decided about each.

A flow is the conversation between a client and one upstream. A host sees only the
packets of the client, and reads only their headers.
"""

from enum import Enum
from typing import NamedTuple, NewType

from wisteriatiller.ids import FlowKey

from .upstreams import Tag, Upstream

# The IP number and port that clients of a route send to: six bytes in network order.
ServiceAddress = NewType("ServiceAddress", bytes)


class PacketKind(Enum):
    OPENING = "opening"
    ESTABLISHED = "established"
    CLOSING = "closing"
    ABORTING = "aborting"
    # Only upstreams send this kind, so a client that does so forges it.
    UPSTREAM_ONLY = "upstream_only"


class Packet(NamedTuple):
    """The header of a client's packet.

    ``acknowledged`` grows with what the client has received. ``retransmit_count`` is
    the number of opening packets that the client has sent before this one.
    """

    flow: FlowKey
    service_address: ServiceAddress
    kind: PacketKind
    tag: Tag
    sequence: int
    acknowledged: int
    payload_bytes: int
    retransmit_count: int = 0


class RefusalReason(Enum):
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_GONE = "upstream_gone"


class DiscardReason(Enum):
    FORGED = "forged"
    UNTAGGED = "untagged"
    UNKNOWN_TAG = "unknown_tag"
    ROUTE_UNCERTAIN = "route_uncertain"
    NO_STATE = "no_state"


class Forward(NamedTuple):
    """Send the packet to an upstream, with this tag in its header."""

    upstream: Upstream
    tag: Tag


class Refuse(NamedTuple):
    """Reset the client's flow at once."""

    reason: RefusalReason


class Discard(NamedTuple):
    """Send nothing; the client repeats the packet or gives up."""

    reason: DiscardReason


Decision = Forward | Refuse | Discard


def format_flow(flow: FlowKey) -> str:
    """The flow's id in logs.

    ``100.64.0.7:40001>198.18.0.1:443``
    """
    client_port = int.from_bytes(flow[4:6], "big")
    service_port = int.from_bytes(flow[10:12], "big")
    return (
        f"{_format_ip(flow[0:4])}:{client_port}>{_format_ip(flow[6:10])}:{service_port}"
    )


def _format_ip(number: bytes) -> str:
    return ".".join(map(str, number))
