"""The duplicate table: what became of each request, for repeats of it."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from wisteriatiller.ids import FlowKey, UpstreamId

# RFC 7252 section 4.8.2: the time within which a message id is not used again.
EXCHANGE_LIFETIME_S = 247.0


class RequestState(Enum):
    """The life of a request at its owner."""

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
    """Identifies a request and its repeats."""

    flow_key: FlowKey
    message_id: int


@dataclass(slots=True)
class RequestRecord:
    """The state of one request and, once final, the answer's bytes."""

    state: RequestState
    upstream_id: UpstreamId
    created_s: float
    answer: bytes = b""


class DuplicateTable:
    """Records of requests, kept for ``EXCHANGE_LIFETIME_S``."""

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
        """Drop records older than the exchange lifetime; the oldest are first."""
        while self._records:
            key, record = next(iter(self._records.items()))
            if now_s - record.created_s <= EXCHANGE_LIFETIME_S:
                return
            del self._records[key]
