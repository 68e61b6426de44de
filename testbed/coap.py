"""CoAP messages of the stand-ins, through aiocoap's codec."""

import hashlib

from aiocoap import ACK, Message
from aiocoap.error import Error as CoapError
from aiocoap.numbers.codes import Code
from aiocoap.optiontypes import BlockOption

__all__ = ["CoapError", "answer_digest", "block", "decode", "etag_of", "make", "reply"]

ETAG_BYTES = 8
# 1024-byte blocks, the largest of RFC 7959.
BLOCK_SIZE_EXPONENT = 6


def make(mtype, code: Code, mid: int, token: bytes = b"", payload: bytes = b""):
    """A message that the caller of this function may add options to."""
    message = Message(code=code, payload=payload)
    message.mtype = mtype
    message.mid = mid
    message.token = token
    return message


def reply(request: Message, code: Code, payload: bytes = b"") -> Message:
    """A piggybacked answer to a confirmable request."""
    return make(ACK, code, request.mid, request.token, payload)


def decode(data: bytes) -> Message:
    return Message.decode(data)


def block(number: int, more: bool, exponent: int = BLOCK_SIZE_EXPONENT):
    return BlockOption.BlockwiseTuple(number, more, exponent)


def etag_of(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=ETAG_BYTES).digest()


def answer_digest(data: bytes) -> str:
    """Digest of an encoded answer without its message type and id.

    The type and the id may differ when an answer is sent separately (RFC 7252,
    section 5.2.2); code, token, options and payload must arrive byte for byte.
    """
    return hashlib.blake2b(data[1:2] + data[4:], digest_size=8).hexdigest()
