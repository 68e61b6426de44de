"""Deduplication of requests: the state and the final answer of each recent one."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from wisteriatiller.ids import FlowKey, UpstreamId

# RFC 7252, section 4.8.2: the time within which a message id must not be reused.
EXCHANGE_LIFETIME_S = 247.0


class RequestState(Enum):
    """The state of a request at its owner.

    ``RECORDED`` requests are queued and known to the backup. ``UNKNOWN`` is final: the
    request may have run.
    """

    QUEUED = "queued"
    RECORDED = "recorded"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


FINAL_STATES = frozenset(
    (RequestState.ANSWERED, RequestState.REFUSED, RequestState.UNKNOWN)
)


class RequestKey(NamedTuple):
    """Identifies a request and its duplicates."""

    flow_key: FlowKey
    message_id: int


@dataclass(slots=True)
class RequestRecord:
    """The state of one request and, once it is final, the encoded answer."""

    state: RequestState
    upstream_id: UpstreamId
    created_s: float
    answer: bytes = b""


class DuplicateTable:
    """Request records by key, kept for ``EXCHANGE_LIFETIME_S``."""

    def __init__(self):
        self._records: OrderedDict[RequestKey, RequestRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[tuple[RequestKey, RequestRecord]]:
        return iter(self._records.items())

    def get(self, key: RequestKey) -> RequestRecord | None:
        return self._records.get(key)

    def put(self, key: RequestKey, record: RequestRecord) -> None:
        self._records[key] = record

    def remove(self, key: RequestKey) -> None:
        self._records.pop(key, None)

    def expire(self, now_s: float) -> None:
        """Drop records older than the exchange lifetime."""
        # The records are in the order of their creation.
        while self._records:
            key, record = next(iter(self._records.items()))
            if now_s - record.created_s <= EXCHANGE_LIFETIME_S:
                return
            del self._records[key]
