"""Messages of the membership protocol and their encoding as datagrams.

A datagram is a keyed digest followed by an encoded message. The digest also covers the
address of the receiver, so a recorded datagram cannot be replayed to another host. An
update is the array ``[key, version, value as msgpack, age in ms]``; the age is the time
since the death of a DEAD host, and 0 in any other entry.
"""

from collections.abc import Sequence

from wisteriatiller.digests import DIGEST_BYTES, sign, verify
from wisteriatiller.exceptions import MessageError
from wisteriatiller.foundation import Message, decode, encode, message
from wisteriatiller.ids import Address, HostId

# Leaves room for IPv6 and tunnel headers below the Ethernet MTU, so that datagrams are
# never fragmented.
MAX_DATAGRAM_BYTES = 1400
# Digest, message header, sender and fixed fields of a datagram with updates.
DATAGRAM_OVERHEAD_BYTES = 120
MAX_UPDATES_BYTES = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES


@message(20)
class Ping(Message):
    """Requests an ``Ack`` with the same nonce."""

    sender: HostId
    nonce: int
    updates: tuple


@message(21)
class Ack(Message):
    """Answers a ``Ping``, ``ProbeRequest`` or ``Join`` with the same nonce."""

    sender: HostId
    nonce: int
    updates: tuple


@message(22)
class ProbeRequest(Message):
    """Requests an indirect probe: ping ``target`` and forward its ``Ack``."""

    sender: HostId
    nonce: int
    target: HostId
    updates: tuple


@message(23)
class Push(Message):
    """Carries updates, and keys whose entries the sender requests in return.

    ``nonce`` is that of the anti-entropy exchange that this belongs to, or 0.
    """

    sender: HostId
    nonce: int
    updates: tuple
    wanted: tuple


@message(24)
class Join(Message):
    """Introduces the sender to an address whose host id it may not know."""

    sender: HostId
    nonce: int
    updates: tuple


@message(25)
class Digest(Message):
    """Starts an anti-entropy exchange with the digest over all entries."""

    sender: HostId
    nonce: int
    root: int
    updates: tuple


@message(26)
class DigestReply(Message):
    """The bucket digests, or empty ``sums`` if the digests over all entries agree."""

    sender: HostId
    nonce: int
    sums: bytes
    updates: tuple


@message(27)
class Versions(Message):
    """Key, version and short checksum of the entries in some buckets."""

    sender: HostId
    nonce: int
    buckets: bytes
    versions: tuple


@message(28)
class StateEntries(Message):
    """Updates that are too large for datagrams; sent over the peer streams."""

    nonce: int
    updates: tuple


def encode_datagram(keys: Sequence[bytes], receiver: Address, value: Message) -> bytes:
    """Return the signed datagram that carries ``value`` to ``receiver``."""
    body = encode(value)
    return sign(keys, _signed_bytes(receiver, body)) + body


def decode_datagram(keys: Sequence[bytes], receiver: Address, data: bytes) -> Message:
    """Verify and decode a datagram; raises ``MessageError`` if it is invalid."""
    if not DIGEST_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
        raise MessageError(f"invalid datagram size: {len(data)} bytes")
    body = data[DIGEST_BYTES:]
    if not verify(keys, data[:DIGEST_BYTES], _signed_bytes(receiver, body)):
        raise MessageError("invalid datagram digest")
    return decode(body)


def _signed_bytes(receiver: Address, body: bytes) -> bytes:
    return b"gossip" + str(receiver).encode() + b"\0" + body
