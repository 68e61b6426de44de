"""Decodes CoAP messages (RFC 7252) and encodes error responses, with aiocoap."""

import math
from dataclasses import dataclass
from enum import Enum

import aiocoap
from aiocoap.error import Error as CoapError

from wisteriatiller.exceptions import MessageError
from wisteriatiller.outcomes import OutcomeUnknown, Refused

MAX_MAX_AGE_S = 3600
_IDEMPOTENT_CODES = frozenset((aiocoap.GET, aiocoap.FETCH))


class MessageType(Enum):
    """The four message types of RFC 7252."""

    CON = 0
    NON = 1
    ACK = 2
    RST = 3


@dataclass(frozen=True, slots=True)
class CoapHeader:
    """The header fields and options of a message that the balancer uses."""

    message_type: MessageType
    code: int
    message_id: int
    token: bytes
    max_age_s: int | None = None

    @property
    def is_request(self) -> bool:
        return 1 <= self.code < 32

    @property
    def is_response(self) -> bool:
        return self.code >= 64

    @property
    def is_idempotent(self) -> bool:
        return self.code in _IDEMPOTENT_CODES

    @property
    def is_refusal(self) -> bool:
        """Whether it is 5.03 Service Unavailable: the request was not started."""
        return self.code == aiocoap.SERVICE_UNAVAILABLE


def decode_header(payload: bytes) -> CoapHeader:
    """Decode the header of a message; raise ``MessageError`` if it is invalid."""
    try:
        message = aiocoap.Message.decode(payload)
    except (CoapError, ValueError, IndexError, KeyError) as error:
        raise MessageError(f"undecodable CoAP message: {error!r}") from error
    return CoapHeader(
        MessageType(int(message.mtype)),
        int(message.code),
        message.mid,
        message.token,
        message.opt.max_age,
    )


def encode_refusal(head: CoapHeader, outcome: Refused) -> bytes:
    """Encode a 5.03 response: the request was not run; retry after Max-Age."""
    return _encode_response(
        head,
        aiocoap.SERVICE_UNAVAILABLE,
        f"not run: {outcome.reason.value}",
        outcome.retry_after_s,
    )


def encode_outcome_unknown(head: CoapHeader, outcome: OutcomeUnknown) -> bytes:
    """Encode a 5.04 response: the request may have run and is not run again."""
    return _encode_response(
        head,
        aiocoap.GATEWAY_TIMEOUT,
        f"outcome unknown: {outcome.reason.value}",
        outcome.retry_after_s,
    )


def _encode_response(
    head: CoapHeader, code, diagnostic: str, max_age_s: float
) -> bytes:
    """Encode a response: piggybacked on the ACK for a CON request, else a NON."""
    is_confirmable = head.message_type is MessageType.CON
    message = aiocoap.Message(
        code=code,
        payload=diagnostic.encode(),
        _mtype=aiocoap.ACK if is_confirmable else aiocoap.NON,
        _mid=head.message_id,
        _token=head.token,
    )
    message.opt.max_age = min(MAX_MAX_AGE_S, max(1, math.ceil(max_age_s)))
    return message.encode()
