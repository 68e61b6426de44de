"""The queue of one upstream: round robin over callers."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from .coapcodec import CoapHead
from .duplicates import RequestKey, RequestRecord
from .ids import CallerId, FlowKey


@dataclass(slots=True, eq=False)
class Request:
    """A request on its way through an owner.

    ``upstream_message_id`` is the message id under which the upstream sees it, None
    before the first dispatch. ``may_have_run`` is set by a dispatch and cleared only
    by the upstream's own refusal. ``resent`` says that the current message id went
    to the upstream more than once.
    """

    flow_key: FlowKey
    caller_id: CallerId
    head: CoapHead
    payload: bytes
    received_s: float
    deadline_s: float
    record: RequestRecord
    dispatched_s: float = 0.0
    upstream_message_id: int | None = None
    dispatches: int = 0
    may_have_run: bool = False
    resent: bool = False

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
        self._by_age: OrderedDict[Request, None] = OrderedDict()
        # Item k holds the callers with more than k waiting requests. It keeps the
        # cost of ``ahead_of`` independent of the number of waiting callers, of which
        # there are thousands after an outage.
        self._levels: list[OrderedDict[CallerId, None]] = []

    def __len__(self) -> int:
        return len(self._by_age)

    def push(self, request: Request) -> None:
        waiting = self._by_caller.get(request.caller_id)
        if waiting is None:
            waiting = self._by_caller[request.caller_id] = deque()
        if len(waiting) == len(self._levels):
            self._levels.append(OrderedDict())
        self._levels[len(waiting)][request.caller_id] = None
        waiting.append(request)
        self._by_age[request] = None

    def pop(self) -> Request:
        """Take the next request; the queue must not be empty."""
        caller_id, waiting = self._by_caller.popitem(last=False)
        request = waiting.popleft()
        if waiting:
            self._by_caller[caller_id] = waiting
        self._forget(request, len(waiting))
        return request

    def remove(self, request: Request) -> bool:
        if request not in self._by_age:
            return False
        waiting = self._by_caller[request.caller_id]
        waiting.remove(request)
        if not waiting:
            del self._by_caller[request.caller_id]
        self._forget(request, len(waiting))
        return True

    def ahead_of(self, caller_id: CallerId) -> int:
        """Requests served before a new one of the caller under round robin."""
        own = self.length_of(caller_id)
        return sum(len(level) for level in self._levels[: own + 1])

    def length_of(self, caller_id: CallerId) -> int:
        return len(self._by_caller.get(caller_id, ()))

    def oldest(self) -> Request | None:
        return next(iter(self._by_age), None)

    def last_of_longest(self) -> Request | None:
        """The newest request of a caller that has the most waiting requests."""
        if not self._levels:
            return None
        caller_id = next(reversed(self._levels[-1]))
        return self._by_caller[caller_id][-1]

    def _forget(self, request: Request, left: int) -> None:
        del self._by_age[request]
        del self._levels[left][request.caller_id]
        while self._levels and not self._levels[-1]:
            self._levels.pop()
