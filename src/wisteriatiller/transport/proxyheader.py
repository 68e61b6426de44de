"""PROXY protocol v2 headers on datagrams.

A datagram between fabric, hosts and upstreams starts with a header that names the
caller and the service address. Headers repeat for every datagram of a flow, so the
data path works on their bytes: ``split`` finds the header, and ``parse`` decodes it
with the protocol library only once for each flow.
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
PREFIX_BYTES = 16
COMMAND_LOCAL = 0x20
IPV4_BLOCK_BYTES = 12
IPV6_BLOCK_BYTES = 36
IPV4_HEADER_BYTES = PREFIX_BYTES + IPV4_BLOCK_BYTES
DGRAM_IPV4 = 0x12
DGRAM_IPV6 = 0x22

TLV_DEADLINE = 0xE0
TLV_REPORT = 0xE1
TLV_CANCEL = 0xE2
TLV_NONCE = 0xE3
TLV_CLOCK = 0xE4

# Decoding the service address of each datagram cost more than looking it up. The bound
# exceeds the 3,500 addresses of the target size, so that stray ones do not evict them.
MAX_CACHED_ADDRESSES = 8192

_LENGTH = struct.Struct("!H")
_TLV_U64 = struct.Struct("!BHQ")
_codec = ProxyProtocolV2()


@dataclass(frozen=True, slots=True)
class FlowAddresses:
    """The two ends of a flow as a header names them."""

    source: Address
    destination: Address


@dataclass(frozen=True, slots=True)
class LocalHeader:
    """A header of the LOCAL command, used by health probes."""

    tlv: dict[int, bytes]


def split(data: bytes) -> tuple[bytes, bytes]:
    """Split a datagram into its header and its payload."""
    if len(data) < PREFIX_BYTES or data[:12] != SIGNATURE:
        raise MessageError("no PROXY protocol v2 header")
    end = PREFIX_BYTES + (data[14] << 8 | data[15])
    if end > len(data):
        raise MessageError("truncated PROXY protocol v2 header")
    return data[:end], data[end:]


def flow_key(header: bytes) -> FlowKey:
    """The address block of a header; raises ``MessageError`` for other families."""
    return FlowKey(header[PREFIX_BYTES : PREFIX_BYTES + _block_bytes(header)])


def make_header(key: FlowKey) -> bytes:
    """A datagram header with the address block ``key`` and no TLV."""
    family = DGRAM_IPV4 if len(key) == IPV4_BLOCK_BYTES else DGRAM_IPV6
    return SIGNATURE + bytes((0x21, family)) + _LENGTH.pack(len(key)) + key


def reversed_key(key: FlowKey) -> FlowKey:
    """The key with source and destination exchanged."""
    size = 4 if len(key) == IPV4_BLOCK_BYTES else 16
    ports = 2 * size
    return FlowKey(
        key[size:ports] + key[:size] + key[ports + 2 :] + key[ports : ports + 2]
    )


def source(key: FlowKey) -> Address:
    """The caller's address."""
    size = 4 if len(key) == IPV4_BLOCK_BYTES else 16
    port = int.from_bytes(key[2 * size : 2 * size + 2], "big")
    return Address(str(ip_address(key[:size])), port)


def destination(key: FlowKey) -> Address:
    """The service's address."""
    size = 4 if len(key) == IPV4_BLOCK_BYTES else 16
    return _service_address(key[size : 2 * size], key[-2:])


@lru_cache(MAX_CACHED_ADDRESSES)
def _service_address(ip: bytes, port: bytes) -> Address:
    return Address(str(ip_address(ip)), int.from_bytes(port, "big"))


def with_deadline(header: bytes, deadline_ms: int) -> bytes:
    """Append the deadline, in milliseconds of the upstream's clock."""
    return _with_tlv(header, _TLV_U64.pack(TLV_DEADLINE, 8, deadline_ms))


def with_cancel(header: bytes) -> bytes:
    """Append the mark that cancels the request in the payload."""
    return _with_tlv(header, struct.pack("!BH", TLV_CANCEL, 0))


def parse(header: bytes) -> FlowAddresses | LocalHeader:
    """Decode a header with the protocol library."""
    try:
        result = _codec.unpack(header)
    except Exception as error:
        raise MessageError(f"undecodable PROXY protocol header: {error}") from error
    if is_local(result):
        return LocalHeader(dict(result.tlv))
    if not (is_ipv4(result) or is_ipv6(result)):
        raise MessageError("unsupported address family")
    return FlowAddresses(
        Address(str(result.source[0]), result.source[1]),
        Address(str(result.dest[0]), result.dest[1]),
    )


def pack(addresses: FlowAddresses) -> bytes:
    """Encode a datagram header for a flow."""
    source = (ip_address(addresses.source.ip), addresses.source.port)
    dest = (ip_address(addresses.destination.ip), addresses.destination.port)
    result_type = ProxyResultIPv4 if source[0].version == 4 else ProxyResultIPv6
    return _codec.pack(result_type(source, dest, protocol=SocketKind.SOCK_DGRAM))


def pack_local(tlv: dict[int, bytes]) -> bytes:
    """Encode a header of the LOCAL command."""
    return _codec.pack(ProxyResultLocal(tlv=ProxyProtocolTLV(init=tlv)))


def _block_bytes(header: bytes) -> int:
    if header[13] == DGRAM_IPV4:
        size = IPV4_BLOCK_BYTES
    elif header[13] == DGRAM_IPV6:
        size = IPV6_BLOCK_BYTES
    else:
        raise MessageError("not a datagram header")
    if len(header) < PREFIX_BYTES + size:
        raise MessageError("truncated address block")
    return size


def _with_tlv(header: bytes, tlv: bytes) -> bytes:
    length = len(header) - PREFIX_BYTES + len(tlv)
    return header[:14] + _LENGTH.pack(length) + header[PREFIX_BYTES:] + tlv
