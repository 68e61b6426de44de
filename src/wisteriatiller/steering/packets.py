"""Packets of flows, and the decisions about them.

A flow is a connection between a client and one upstream. Return traffic bypasses the
hosts: a host sees only the client's packets, and reads only their headers.
"""

from enum import Enum
from typing import NamedTuple, NewType

from wisteriatiller.ids import FlowKey, ServiceId, UpstreamId

from .upstreams import Tag, Upstream

# The IPv4 address and port that clients of a route send to: six bytes in network order.
ServiceAddress = NewType("ServiceAddress", bytes)


# Sequence numbers count the bytes of a flow modulo this.
SEQUENCE_RANGE = 1 << 32


class PacketKind(Enum):
    """The role of a packet in its flow, by the flags in its header."""

    OPENING = "opening"
    ESTABLISHED = "established"
    CLOSING = "closing"
    ABORTING = "aborting"
    # Only upstreams send these packets; from a client they are forged.
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

    @property
    def end_sequence(self) -> int:
        """The sequence number after the last byte of the payload."""
        return (self.sequence + self.payload_bytes) % SEQUENCE_RANGE


class RefusalReason(Enum):
    """Why a flow is reset; the values are written to logs and metrics."""

    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_GONE = "upstream_gone"
    UPSTREAM_SILENT = "upstream_silent"
    ZONE_EVACUATED = "zone_evacuated"
    OVERLOADED = "overloaded"


class DiscardReason(Enum):
    """Why a packet is dropped; the values are written to logs and metrics."""

    FORGED = "forged"
    UNTAGGED = "untagged"
    UNKNOWN_TAG = "unknown_tag"
    ROUTE_UNCERTAIN = "route_uncertain"
    NO_STATE = "no_state"
    WARMUP_LIMIT = "warmup_limit"
    # A repeated opening packet of a flow that may have opened in an evacuated zone.
    ZONE_EVACUATED = "zone_evacuated"
    # The same at an upstream that leaves, or of a service that the route has left.
    UPSTREAM_INELIGIBLE = "upstream_ineligible"


class Forward(NamedTuple):
    """Send the packet to an upstream, with the given tag in its header."""

    upstream: Upstream
    tag: Tag


class LossEvidence(NamedTuple):
    """Why a flow is given up whose upstream is no longer listed.

    ``has_left`` says that the upstream is known to have drained and ended,
    ``missing_s`` how long it has been gone, ``repeats`` how often the client has
    repeated the packet, and ``silent_s`` the time since any flow of it has progressed.
    """

    upstream_id: UpstreamId
    has_left: bool
    missing_s: float
    repeats: int
    silent_s: float


class OverloadEvidence(NamedTuple):
    """Why a flow is refused for overload, from what all hosts know of its service.

    ``in_flight`` is the number of requests without an answer at ``slots`` slots,
    ``expected_wait_s`` how long a new request would wait at least, if that is known,
    ``probability`` the fraction of such flows that is refused, and ``age_s`` the age of
    the oldest of these numbers.
    """

    service: ServiceId
    route: str
    priority: int
    in_flight: int
    slots: int
    expected_wait_s: float | None
    probability: float
    age_s: float


class SilenceEvidence(NamedTuple):
    """Why a flow of a listed upstream is reset: its zone has found it silent.

    ``silent_s`` is the time since any host of its zone has seen progress of it, and
    ``own_silent_s`` the time since this host has. ``pending_s`` is how long a request
    of the flow has waited; None if none does.
    """

    upstream_id: UpstreamId
    started_ms: int
    silent_s: float
    own_silent_s: float
    pending_s: float | None


class Refuse(NamedTuple):
    """Send a reset to the client; ``evidence`` says why a flow is lost or refused."""

    reason: RefusalReason
    evidence: LossEvidence | OverloadEvidence | SilenceEvidence | None = None


class FlowReset(NamedTuple):
    """A reset that no packet of the client has called for.

    ``sequence`` is the client's last acknowledgement, near which its sequence number
    has to be.
    """

    flow: FlowKey
    sequence: int
    evidence: SilenceEvidence


def service_address_of(flow: FlowKey) -> ServiceAddress:
    """The address that the client of a flow sends to."""
    return ServiceAddress(flow[6:12])


class Discard(NamedTuple):
    """Drop the packet; the client retransmits it or gives up."""

    reason: DiscardReason


Decision = Forward | Refuse | Discard


def format_flow(flow: FlowKey) -> str:
    """Return the form of a flow in logs: ``100.64.0.7:40001>198.18.0.1:443``."""
    client_port = int.from_bytes(flow[4:6], "big")
    service_port = int.from_bytes(flow[10:12], "big")
    return (
        f"{_format_ip(flow[0:4])}:{client_port}>{_format_ip(flow[6:10])}:{service_port}"
    )


def _format_ip(number: bytes) -> str:
    return ".".join(map(str, number))
