"""Fair queueing of the requests to one upstream, round robin over callers."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from wisteriatiller.ids import CallerId, FlowKey
from wisteriatiller.transport import CoapHeader

from .duplicates import RequestKey, RequestRecord


@dataclass(slots=True, eq=False)
class Request:
    """A request between its arrival at the owner and its final answer.

    ``upstream_message_id`` is the message id under which the upstream sees it, None
    before the first dispatch. ``may_have_run`` is set by a dispatch and cleared only
    by a refusal from the upstream. ``retransmitted`` says that the current message id
    was sent to the upstream more than once.
    """

    flow_key: FlowKey
    caller_id: CallerId
    head: CoapHeader
    payload: bytes
    received_s: float
    deadline_s: float
    record: RequestRecord
    dispatched_s: float = 0.0
    upstream_message_id: int | None = None
    dispatches: int = 0
    may_have_run: bool = False
    retransmitted: bool = False

    @property
    def key(self) -> RequestKey:
        return RequestKey(self.flow_key, self.head.message_id)


# Callers within their share overtake a caller over its share at most this many times in
# a row, so that a stream of new callers does not starve it.
MAX_CONSECUTIVE_OVERTAKES = 32
# A caller is over its share if its recent dispatches exceed this many times the mean of
# the other callers', plus a slack for random variation.
OVER_SHARE_FACTOR = 2.0
OVER_SHARE_SLACK = 3.0
# The counts of recent dispatches are halved after this many dispatches, or after the
# given number per caller if that is more.
RECENT_DISPATCHES = 1024
RECENT_DISPATCHES_PER_CALLER = 8


class FairQueue:
    """Round robin over callers with a quantum of one request.

    Requests of one caller are served in order. While a request is at the head of its
    caller's queue, each other caller has at most one request dispatched. Within that
    rule, callers that used more than their share lately yield to the others: in plain
    round robin, one busy caller takes a turn after each request of the others and
    doubles their waits. Call ``evict_over_share`` before each ``pop`` for a dispatch.
    """

    def __init__(self):
        self._by_caller: dict[CallerId, deque[Request]] = {}
        self._by_arrival: OrderedDict[Request, None] = OrderedDict()
        # Item k holds the callers with more than k waiting requests. This keeps the
        # cost of ``count_ahead_of`` independent of the number of waiting callers, of
        # which there are thousands after an outage.
        self._callers_by_depth: list[OrderedDict[CallerId, None]] = []
        # For each caller, the number of dispatches at the time its present head request
        # became the head. Callers are in the order of that time. Those within their
        # share are also kept separately.
        self._head_since: OrderedDict[CallerId, int] = OrderedDict()
        self._within_share: OrderedDict[CallerId, None] = OrderedDict()
        self._last_dispatch: dict[CallerId, int] = {}
        self._dispatches = 0
        self._consecutive_overtakes = 0
        self._usage = _RecentUsage()

    def __len__(self) -> int:
        return len(self._by_arrival)

    def push(self, request: Request) -> None:
        """Append a request to its caller's queue."""
        caller_id = request.caller_id
        backlog = self._by_caller.get(caller_id)
        if backlog is None:
            backlog = self._by_caller[caller_id] = deque()
            self._enter_rotation(caller_id)
        if len(backlog) == len(self._callers_by_depth):
            self._callers_by_depth.append(OrderedDict())
        self._callers_by_depth[len(backlog)][caller_id] = None
        backlog.append(request)
        self._by_arrival[request] = None

    def pop(self) -> Request:
        """Remove and return the next request; the queue must not be empty."""
        caller_id = self._next_caller()
        self._consecutive_overtakes = (
            0
            if caller_id == next(iter(self._head_since))
            else self._consecutive_overtakes + 1
        )
        self._dispatches += 1
        self._last_dispatch[caller_id] = self._dispatches
        self._prune_last_dispatches()
        self._usage.add(caller_id)
        backlog = self._by_caller[caller_id]
        request = backlog.popleft()
        self._leave_rotation(caller_id)
        if backlog:
            self._enter_rotation(caller_id)
        self._remove_from_indexes(request)
        return request

    def evict_over_share(self) -> Request | None:
        """Remove a head request that blocks a caller within its share, if there is one.

        The request's caller is over its share. The blocked caller has had a turn since
        the request became a head, so the request would have to be served first. That
        would keep the others waiting, so the request is to be refused instead.
        """
        if not self._within_share or not self._is_blocked(
            next(iter(self._within_share))
        ):
            return None
        caller_id = next(iter(self._head_since))
        backlog = self._by_caller[caller_id]
        request = backlog.popleft()
        self._leave_rotation(caller_id)
        if backlog:
            self._enter_rotation(caller_id)
        self._remove_from_indexes(request)
        return request

    def remove(self, request: Request) -> bool:
        """Remove a request; False if it is not queued."""
        if request not in self._by_arrival:
            return False
        backlog = self._by_caller[request.caller_id]
        backlog.remove(request)
        if not backlog:
            self._leave_rotation(request.caller_id)
        self._remove_from_indexes(request)
        return True

    def count_ahead_of(self, caller_id: CallerId) -> int:
        """How many requests round robin serves before a new one of the caller."""
        own = self.backlog_of(caller_id)
        return sum(len(level) for level in self._callers_by_depth[: own + 1])

    def backlog_of(self, caller_id: CallerId) -> int:
        """The number of queued requests of the caller."""
        return len(self._by_caller.get(caller_id, ()))

    def peek_oldest(self) -> Request | None:
        """The request that was queued first; None if the queue is empty."""
        return next(iter(self._by_arrival), None)

    def newest_of_busiest_caller(self) -> Request | None:
        """The newest request of a caller that has the most queued requests."""
        if not self._callers_by_depth:
            return None
        caller_id = next(reversed(self._callers_by_depth[-1]))
        return self._by_caller[caller_id][-1]

    def _next_caller(self) -> CallerId:
        """The first caller, or the first within its share if it may overtake it."""
        first = next(iter(self._head_since))
        if (
            first in self._within_share
            or self._consecutive_overtakes >= MAX_CONSECUTIVE_OVERTAKES
        ):
            return first
        caller_id = next(iter(self._within_share), first)
        return first if self._is_blocked(caller_id) else caller_id

    def _is_blocked(self, caller_id: CallerId) -> bool:
        """Whether the caller has had a turn since the first caller's head was set."""
        first, since = next(iter(self._head_since.items()))
        return first not in self._within_share and (
            self._last_dispatch.get(caller_id, 0) > since
        )

    def _enter_rotation(self, caller_id: CallerId) -> None:
        self._head_since[caller_id] = self._dispatches
        if not self._usage.is_over_share(caller_id):
            self._within_share[caller_id] = None

    def _leave_rotation(self, caller_id: CallerId) -> None:
        del self._head_since[caller_id]
        self._within_share.pop(caller_id, None)

    def _remove_from_indexes(self, request: Request) -> None:
        caller_id = request.caller_id
        backlog = self._by_caller[caller_id]
        del self._by_arrival[request]
        del self._callers_by_depth[len(backlog)][caller_id]
        while self._callers_by_depth and not self._callers_by_depth[-1]:
            self._callers_by_depth.pop()
        if not backlog:
            del self._by_caller[caller_id]

    def _prune_last_dispatches(self) -> None:
        """Drop last dispatches that precede every head request: they never block."""
        if len(self._last_dispatch) <= 2 * len(self._head_since) + RECENT_DISPATCHES:
            return
        oldest = min(self._head_since.values(), default=self._dispatches)
        self._last_dispatch = {
            caller_id: number
            for caller_id, number in self._last_dispatch.items()
            if number > oldest
        }


class _RecentUsage:
    """Counts of dispatches by caller, halved periodically so that old ones fade."""

    def __init__(self):
        self._counts: dict[CallerId, float] = {}
        self._total = 0.0
        self._until_halving = RECENT_DISPATCHES

    def add(self, caller_id: CallerId) -> None:
        self._counts[caller_id] = self._counts.get(caller_id, 0.0) + 1
        self._total += 1
        self._until_halving -= 1
        if self._until_halving <= 0:
            self._halve()

    def is_over_share(self, caller_id: CallerId) -> bool:
        own = self._counts.get(caller_id, 0.0)
        others = len(self._counts) - 1
        if own <= OVER_SHARE_SLACK or others <= 0:
            return False
        mean_of_others = (self._total - own) / others
        return own > OVER_SHARE_FACTOR * mean_of_others + OVER_SHARE_SLACK

    def _halve(self) -> None:
        self._counts = {
            caller_id: count / 2
            for caller_id, count in self._counts.items()
            if count >= 1
        }
        self._total = sum(self._counts.values())
        self._until_halving = max(
            RECENT_DISPATCHES, RECENT_DISPATCHES_PER_CALLER * len(self._counts)
        )
