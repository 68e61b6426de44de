"""The queue of one upstream: round robin over callers."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from .coapcodec import CoapHead
from .duplicates import RequestKey, RequestRecord
from .ids import CallerId, FlowKey


@dataclass(slots=True, eq=False)
class Request:
    """A request on its way through an owner."""

    flow_key: FlowKey
    caller_id: CallerId
    head: CoapHead
    payload: bytes
    received_s: float
    deadline_s: float
    record: RequestRecord
    dispatched_s: float = 0.0

    @property
    def key(self) -> RequestKey:
        return RequestKey(self.flow_key, self.head.message_id)


class FairQueue:
    """Deficit round robin over callers with a quantum of one request.

    Each caller's requests keep their order, and between two requests of a caller
    every other waiting caller gets one request dispatched.
    """

    def __init__(self):
        self._by_caller: OrderedDict[CallerId, deque[Request]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, request: Request) -> None:
        waiting = self._by_caller.get(request.caller_id)
        if waiting is None:
            waiting = self._by_caller[request.caller_id] = deque()
        waiting.append(request)
        self._length += 1

    def pop(self) -> Request:
        """Take the next request; the queue must not be empty."""
        caller_id, waiting = self._by_caller.popitem(last=False)
        request = waiting.popleft()
        if waiting:
            self._by_caller[caller_id] = waiting
        self._length -= 1
        return request

    def remove(self, request: Request) -> bool:
        waiting = self._by_caller.get(request.caller_id)
        if waiting is None or request not in waiting:
            return False
        waiting.remove(request)
        if not waiting:
            del self._by_caller[request.caller_id]
        self._length -= 1
        return True

    def ahead_of(self, caller_id: CallerId) -> int:
        """Requests served before a new one of the caller under round robin."""
        own = len(self._by_caller.get(caller_id, ()))
        return own + sum(
            min(len(waiting), own + 1)
            for other, waiting in self._by_caller.items()
            if other != caller_id
        )
