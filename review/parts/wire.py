"""The packets of PROTOCOL.md, as clients and backends write and read them."""

import struct
import zlib
from typing import NamedTuple

HEADER = struct.Struct(">IIHIHHIIBBI")
SUMMED = struct.Struct(">IHIHHIIB")
SYN, ACK, FIN, RST = 8, 16, 2, 64
SEQUENCE_RANGE = 1 << 32
# The key of ``sum``, which only the two ends of a flow know.
SUM_KEY = 0x5EED
# A reset of the system is taken if its ``seq`` is this close to the last ``ack``.
RESET_WINDOW_BYTES = 76_800


class Packet(NamedTuple):
    """One packet; addresses are pairs of an IPv4 number and a port."""

    echo: int
    source: tuple[int, int]
    target: tuple[int, int]
    seq: int
    ack: int
    flags: int
    data: bytes = b""

    @property
    def keyed_sum(self) -> int:
        fields = SUMMED.pack(
            *self.source, *self.target, len(self.data), self.seq, self.ack, self.flags
        )
        return zlib.crc32(fields + self.data, SUM_KEY) or 1


def pack(packet: Packet) -> bytes:
    head = HEADER.pack(
        packet.echo,
        *packet.source,
        *packet.target,
        len(packet.data),
        packet.seq,
        packet.ack,
        packet.flags,
        0,
        packet.keyed_sum,
    )
    return head + packet.data


def unpack(data: bytes) -> tuple[Packet, int]:
    """Return a packet and the ``sum`` that it carries."""
    echo, src, sport, dst, dport, _, seq, ack, flags, _, keyed_sum = HEADER.unpack_from(
        data
    )
    packet = Packet(echo, (src, sport), (dst, dport), seq, ack, flags, data[32:])
    return packet, keyed_sum


def ip_number(ip: str) -> int:
    return int.from_bytes(bytes(map(int, ip.split("."))), "big")


def ip_text(number: int) -> str:
    return ".".join(map(str, number.to_bytes(4, "big")))
