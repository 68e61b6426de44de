"""Messages of the membership protocol and their datagrams.

A datagram is a keyed digest followed by an encoded message. The digest also covers
the address of the receiver, so a recorded datagram is worth nothing at other hosts.
An update is the array ``[key, version, value as msgpack, age in ms]``; the age is
that of a DEAD entry and 0 for any other.
"""

from collections.abc import Sequence

from wisteriatiller.digests import DIGEST_BYTES, sign, verify
from wisteriatiller.exceptions import MessageError
from wisteriatiller.foundation import Message, decode, encode, message
from wisteriatiller.ids import Address, HostId

# Below the Ethernet limit with room for IPv6 and tunnel headers, so that a datagram
# is never fragmented.
MAX_DATAGRAM_BYTES = 1400
# Digest, message header, sender and fixed fields of a datagram with updates.
DATAGRAM_OVERHEAD_BYTES = 120
# What is left of a datagram for updates.
MAX_UPDATES_BYTES = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES


@message(20)
class Ping(Message):
    """Asks for an ``Ack`` with the same nonce."""

    sender: HostId
    nonce: int
    updates: tuple


@message(21)
class Ack(Message):
    sender: HostId
    nonce: int
    updates: tuple


@message(22)
class ProbeRequest(Message):
    """Asks the receiver to ping ``target`` and to pass its ``Ack`` on."""

    sender: HostId
    nonce: int
    target: HostId
    updates: tuple


@message(23)
class Push(Message):
    """Updates, and keys that the sender wants in return.

    ``nonce`` is that of the comparison that this answers, or 0.
    """

    sender: HostId
    nonce: int
    updates: tuple
    wanted: tuple


@message(24)
class Join(Message):
    """Introduces a host to an address whose host it may not know."""

    sender: HostId
    nonce: int
    updates: tuple


@message(25)
class Digest(Message):
    """Starts a comparison with the sum over all entries."""

    sender: HostId
    nonce: int
    root: int
    updates: tuple


@message(26)
class DigestReply(Message):
    """The sums of the buckets, or nothing if the sums over all entries agree."""

    sender: HostId
    nonce: int
    sums: bytes
    updates: tuple


@message(27)
class Versions(Message):
    """Key, version and check of the entries in some buckets."""

    sender: HostId
    nonce: int
    buckets: bytes
    versions: tuple


@message(28)
class StateEntries(Message):
    """Updates that are too many for datagrams; sent over the peer streams."""

    nonce: int
    updates: tuple


def encode_datagram(keys: Sequence[bytes], receiver: Address, value: Message) -> bytes:
    """The datagram that carries ``value`` to ``receiver``."""
    body = encode(value)
    return sign(keys, _signed_bytes(receiver, body)) + body


def decode_datagram(keys: Sequence[bytes], receiver: Address, data: bytes) -> Message:
    """Read a datagram; raises ``MessageError`` if it is not genuine."""
    if not DIGEST_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
        raise MessageError(f"datagram of {len(data)} bytes")
    body = data[DIGEST_BYTES:]
    if not verify(keys, data[:DIGEST_BYTES], _signed_bytes(receiver, body)):
        raise MessageError("datagram with a wrong digest")
    return decode(body)


def _signed_bytes(receiver: Address, body: bytes) -> bytes:
    return b"gossip" + str(receiver).encode() + b"\0" + body
