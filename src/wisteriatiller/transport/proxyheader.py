"""PROXY protocol v2 headers on datagrams.

Each datagram between fabric, hosts and upstreams starts with a header that holds the
addresses of the caller and the service. As all datagrams of a flow carry the same
header, the data path works on the encoded bytes: ``split`` separates the header from
the payload, and the address block is the flow key. ``parse`` decodes a header with the
protocol library, and must not run for every datagram of a flow.
"""

import struct
from dataclasses import dataclass
from functools import lru_cache
from ipaddress import ip_address
from socket import SocketKind

from proxyprotocol.result import (
    ProxyResultIPv4,
    ProxyResultIPv6,
    ProxyResultLocal,
    is_ipv4,
    is_ipv6,
    is_local,
)
from proxyprotocol.tlv import ProxyProtocolTLV
from proxyprotocol.v2 import ProxyProtocolV2

from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import Address, FlowKey

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
FIXED_HEADER_BYTES = 16
COMMAND_LOCAL = 0x20
IPV4_ADDRESS_BLOCK_BYTES = 12
IPV6_ADDRESS_BLOCK_BYTES = 36
IPV4_HEADER_BYTES = FIXED_HEADER_BYTES + IPV4_ADDRESS_BLOCK_BYTES
FAMILY_IPV4_DGRAM = 0x12
FAMILY_IPV6_DGRAM = 0x22

TLV_DEADLINE = 0xE0
TLV_REPORT = 0xE1
TLV_CANCEL = 0xE2
TLV_NONCE = 0xE3
TLV_CLOCK = 0xE4

# Decoding a service address costs more than a cache lookup. The limit exceeds the 3,500
# service addresses of the target size, so that unknown addresses do not evict them.
MAX_CACHED_ADDRESSES = 8192

_LENGTH = struct.Struct("!H")
_TLV_U64 = struct.Struct("!BHQ")
_codec = ProxyProtocolV2()


@dataclass(frozen=True, slots=True)
class FlowAddresses:
    """The source and destination address of a header."""

    source: Address
    destination: Address


@dataclass(frozen=True, slots=True)
class LocalHeader:
    """The TLVs of a header with the LOCAL command, which health probes use."""

    tlv: dict[int, bytes]


def split(data: bytes) -> tuple[bytes, bytes]:
    """Split a datagram into header and payload.

    Raises ``MessageError`` if the header is missing or truncated.
    """
    if len(data) < FIXED_HEADER_BYTES or data[:12] != SIGNATURE:
        raise MessageError("no PROXY protocol v2 header")
    end = FIXED_HEADER_BYTES + (data[14] << 8 | data[15])
    if end > len(data):
        raise MessageError("truncated PROXY protocol v2 header")
    return data[:end], data[end:]


def flow_key(header: bytes) -> FlowKey:
    """Return the address block of a header, which identifies the flow.

    Raises ``MessageError`` unless it is a datagram header for IPv4 or IPv6.
    """
    return FlowKey(
        header[FIXED_HEADER_BYTES : FIXED_HEADER_BYTES + _address_block_bytes(header)]
    )


def make_header(key: FlowKey) -> bytes:
    """Encode a datagram header with the address block ``key`` and no TLVs."""
    family = (
        FAMILY_IPV4_DGRAM if len(key) == IPV4_ADDRESS_BLOCK_BYTES else FAMILY_IPV6_DGRAM
    )
    return SIGNATURE + bytes((0x21, family)) + _LENGTH.pack(len(key)) + key


def reversed_key(key: FlowKey) -> FlowKey:
    """Return the key of the opposite direction: source and destination swapped."""
    size = 4 if len(key) == IPV4_ADDRESS_BLOCK_BYTES else 16
    ports = 2 * size
    return FlowKey(
        key[size:ports] + key[:size] + key[ports + 2 :] + key[ports : ports + 2]
    )


def source(key: FlowKey) -> Address:
    """Decode the source address, which is the caller's."""
    size = 4 if len(key) == IPV4_ADDRESS_BLOCK_BYTES else 16
    port = int.from_bytes(key[2 * size : 2 * size + 2], "big")
    return Address(str(ip_address(key[:size])), port)


def destination(key: FlowKey) -> Address:
    """Decode the destination address, which is the service's."""
    size = 4 if len(key) == IPV4_ADDRESS_BLOCK_BYTES else 16
    return _service_address(key[size : 2 * size], key[-2:])


@lru_cache(MAX_CACHED_ADDRESSES)
def _service_address(ip: bytes, port: bytes) -> Address:
    return Address(str(ip_address(ip)), int.from_bytes(port, "big"))


def with_deadline(header: bytes, deadline_ms: int) -> bytes:
    """Return the header with a deadline TLV, in ms of the upstream's clock."""
    return _with_tlv(header, _TLV_U64.pack(TLV_DEADLINE, 8, deadline_ms))


def with_cancel(header: bytes) -> bytes:
    """Return the header with the TLV that cancels the request in the payload."""
    return _with_tlv(header, struct.pack("!BH", TLV_CANCEL, 0))


def parse(header: bytes) -> FlowAddresses | LocalHeader:
    """Decode a header with the protocol library; raise ``MessageError`` on failure."""
    try:
        result = _codec.unpack(header)
    except Exception as error:
        raise MessageError(f"undecodable PROXY protocol header: {error}") from error
    if is_local(result):
        return LocalHeader(dict(result.tlv))
    if not (is_ipv4(result) or is_ipv6(result)):
        raise MessageError("unsupported address family in PROXY protocol header")
    return FlowAddresses(
        Address(str(result.source[0]), result.source[1]),
        Address(str(result.dest[0]), result.dest[1]),
    )


def pack(addresses: FlowAddresses) -> bytes:
    """Encode a datagram header with the addresses of a flow."""
    source = (ip_address(addresses.source.ip), addresses.source.port)
    dest = (ip_address(addresses.destination.ip), addresses.destination.port)
    result_type = ProxyResultIPv4 if source[0].version == 4 else ProxyResultIPv6
    return _codec.pack(result_type(source, dest, protocol=SocketKind.SOCK_DGRAM))


def pack_local(tlv: dict[int, bytes]) -> bytes:
    """Encode a header with the LOCAL command and the given TLVs."""
    return _codec.pack(ProxyResultLocal(tlv=ProxyProtocolTLV(init=tlv)))


def _address_block_bytes(header: bytes) -> int:
    if header[13] == FAMILY_IPV4_DGRAM:
        size = IPV4_ADDRESS_BLOCK_BYTES
    elif header[13] == FAMILY_IPV6_DGRAM:
        size = IPV6_ADDRESS_BLOCK_BYTES
    else:
        raise MessageError(
            "PROXY protocol header is not for datagrams over IPv4 or IPv6"
        )
    if len(header) < FIXED_HEADER_BYTES + size:
        raise MessageError("truncated address block in PROXY protocol header")
    return size


def _with_tlv(header: bytes, tlv: bytes) -> bytes:
    """Append an encoded TLV and update the length field."""
    length = len(header) - FIXED_HEADER_BYTES + len(tlv)
    return header[:14] + _LENGTH.pack(length) + header[FIXED_HEADER_BYTES:] + tlv
