"""The wire format of the platform's packets."""

import re
import struct
from functools import lru_cache

from wisteriatiller.ids import Address, FlowKey, UpstreamId
from wisteriatiller.steering import (
    Packet,
    PacketCodec,
    PacketKind,
    ServiceAddress,
    Tag,
    Upstream,
)

HEADER_BYTES = 32
MAX_PAYLOAD_BYTES = 1200
# Upstream ids whose number is cached, so that it is not parsed for each packet.
UPSTREAM_NUMBER_CACHE_SIZE = 32_768

# echo, src, sport, dst, dport, len, seq, ack, flags, pad, sum
_HEADER = struct.Struct(">IIHIHHIIBBI")
_SYN = 8
_ACK = 16
_FIN = 2
_RST = 64
# src, sport, dst, dport of a client's packet
_FLOW_KEY = struct.Struct(">IHIH")
_UPSTREAM_ID = struct.Struct(">Q")
_HEX_NUMBER = re.compile(r"0*[0-9a-fA-F]{1,16}")


@lru_cache(UPSTREAM_NUMBER_CACHE_SIZE)
def upstream_number(upstream_id: UpstreamId) -> int:
    """Return the number that identifies an upstream in the header of a packet.

    The id ends with it, in hexadecimal digits after a hyphen. Raises ``ValueError`` if
    there is no such number.

    >>> upstream_number("i-7f3a91c2") == 0x7F3A91C2
    True
    """
    digits = upstream_id.rpartition("-")[2]
    # int() would also accept signs, spaces, underscores, a prefix and other digits.
    if not _HEX_NUMBER.fullmatch(digits) or not int(digits, 16):
        raise ValueError(f"no 64-bit number in {upstream_id!a}")
    return int(digits, 16)


class FlowPacketCodec(PacketCodec):
    """Decodes and encodes the 32-byte header.

    ``return_port`` is the port on which clients receive packets.
    """

    def __init__(self, return_port: int):
        self._return_port = return_port

    def decode(self, data):
        if not HEADER_BYTES <= len(data) <= HEADER_BYTES + MAX_PAYLOAD_BYTES:
            return None
        # "echo" is the tag that the client received last on this flow. In an opening
        # packet, "ack" is the number of its retransmission.
        echo, _, _, _, _, length, seq, ack, flags, _, _ = _HEADER.unpack_from(data)
        if length != len(data) - HEADER_BYTES:
            return None
        kind = _packet_kind(flags)
        return Packet(
            flow=FlowKey(data[4:16]),
            service_address=ServiceAddress(data[10:16]),
            kind=kind,
            tag=Tag(echo),
            sequence=seq,
            acknowledged=ack,
            payload_bytes=length,
            retransmit_count=ack if kind is PacketKind.OPENING else 0,
        )

    def encode_for_upstream(self, data, upstream: Upstream, tag):
        number = upstream_number(upstream.upstream_id)
        return _UPSTREAM_ID.pack(number) + tag.to_bytes(4, "big") + data[4:]

    def encode_reset(self, data):
        _, src, sport, dst, dport, _, _, ack, flags, _, _ = _HEADER.unpack_from(data)
        # In an opening packet "ack" is no acknowledgement; clients then accept any
        # sequence number.
        seq = 0 if flags & _SYN else ack
        return self._encode_reset(src, sport, dst, dport, seq)

    def encode_flow_reset(self, flow, sequence):
        return self._encode_reset(*_FLOW_KEY.unpack(flow), sequence)

    def _encode_reset(self, src, sport, dst, dport, seq):
        header = _HEADER.pack(0, dst, dport, src, sport, 0, seq, 0, _RST, 0, 0)
        client_ip = ".".join(map(str, src.to_bytes(4, "big")))
        return header, Address(client_ip, self._return_port)


def _packet_kind(flags: int) -> PacketKind:
    if flags & _RST:
        return PacketKind.ABORTING
    if flags & _SYN:
        return PacketKind.UPSTREAM_ONLY if flags & _ACK else PacketKind.OPENING
    if flags & _FIN:
        return PacketKind.CLOSING
    return PacketKind.ESTABLISHED
