"""Admission control of one upstream's queue, with Retry-After times for refusals.

A request that cannot be answered before its deadline is refused on arrival: the
caller can still use an alternative, and no slot is wasted.
"""

import math
from collections.abc import Collection

from wisteriatiller.configuration import Service, Upstream
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import CallerId
from wisteriatiller.outcomes import Reason, Refused

from .health import UpstreamHealth
from .queueing import FairQueue, Request

# Share of the capacity that is planned for refused callers that try again; the rest is
# left to new requests, so that a wave of returns does not cause the next wave of
# refusals.
RETURNING_CAPACITY_SHARE = 0.8
# Longer Retry-After times would keep callers away after the overload has ended.
MAX_RETRY_AFTER_S = 60.0
# Random part that is added to the delay, as a share of it. Without it, callers would
# return in step because Max-Age has whole seconds.
JITTER_SHARE = 0.25
# A request is admitted only if this many mean service times remain after its predicted
# wait, since a late answer is useless.
ADMISSION_SERVICE_TIMES = 1.25
# The predicted wait is multiplied by this, since a request that expires in the queue is
# refused later than one that is refused on arrival.
WAIT_SAFETY_FACTOR = 1.15
# A request is dispatched only if this many mean service times remain.
DISPATCH_SERVICE_TIMES = 0.9
# The short-term mean counts with this factor beside the long-term one.
RECENT_MEAN_DISCOUNT = 0.75
# Before the first answer, an upstream is assumed to answer this many requests per slot
# within the deadline. A low number would refuse most of the burst of requests that a
# new owner receives; if it is too high, requests are refused later, from the queue.
ASSUMED_ANSWERS_PER_DEADLINE = 50


class RetryAfterPacer:
    """Spreads the Retry-After times of refused callers over the free capacity."""

    def __init__(self, environment: Environment):
        self._environment = environment
        self._next_s = 0.0

    def next_retry_after_s(self, clear_s: float, rate: float) -> float:
        """The Retry-After time of one more caller, a whole number of seconds.

        ``clear_s`` is the time until the backlog is cleared, ``rate`` the number of
        requests per second that the upstream can answer.
        """
        draw = self._environment.random.random
        now_s = self._environment.clock.now_s()
        earliest_s = max(self._next_s, now_s + min(clear_s, MAX_RETRY_AFTER_S))
        if earliest_s - now_s < MAX_RETRY_AFTER_S:
            self._next_s = earliest_s + 1 / (rate * RETURNING_CAPACITY_SHARE)
            delay_s = earliest_s - now_s
        else:
            delay_s = MAX_RETRY_AFTER_S * (0.5 + draw() / 2)
        delay_s += draw() * (1 + JITTER_SHARE * delay_s)
        # The random second before ``floor`` makes the rounding unbiased.
        return float(max(1, math.floor(delay_s + draw())))


class AdmissionControl:
    """Decides which requests may wait for a slot, from the predicted waiting time."""

    def __init__(
        self,
        environment: Environment,
        service: Service,
        upstream: Upstream,
        health: UpstreamHealth,
        queue: FairQueue,
        in_flight: Collection[Request],
    ):
        self._environment = environment
        self._service = service
        self._upstream = upstream
        self._health = health
        self._queue = queue
        self._in_flight = in_flight
        self._pacer = RetryAfterPacer(environment)

    def reconfigure(self, service: Service, upstream: Upstream) -> None:
        """Apply the service and the upstream of a newer configuration."""
        self._service = service
        self._upstream = upstream

    @property
    def relative_deadline_s(self) -> float:
        """The deadline of a request, counted from its arrival."""
        return self._service.deadline_ms / 1000

    def expected_service_time_s(self) -> float:
        """The expected time from dispatch to answer, from recent measurements."""
        health = self._health
        if health.mean_service_time_s is None:
            return self.relative_deadline_s / ASSUMED_ANSWERS_PER_DEADLINE
        # The long-term mean predicts best, unless the upstream has become slower.
        return max(
            health.mean_service_time_s,
            RECENT_MEAN_DISCOUNT * health.recent_service_time_s,
        )

    def allowed_slots(self) -> int:
        """The requests that may be in flight, fewer than all slots in slow start."""
        slots = self._upstream.slots
        return min(slots, self._health.allowed_in_flight(slots))

    def refusal_for(self, caller_id: CallerId) -> Refused | None:
        """The refusal of a new request of the caller; None if it is admitted."""
        if self._health.is_down:
            return self.make_refusal(Reason.UPSTREAM_DOWN)
        if not self._in_flight and not self._queue:
            # An idle upstream always gets a request: a service time measured at a bad
            # moment is corrected only by further answers.
            return None
        needed_s = ADMISSION_SERVICE_TIMES * self.expected_service_time_s()
        wait_s = self.predicted_wait_s(caller_id)
        if (
            wait_s > 0
            and WAIT_SAFETY_FACTOR * wait_s + needed_s > self.relative_deadline_s
        ):
            return self.make_refusal(Reason.DEADLINE)
        return None

    def overflow_request(self) -> Request | None:
        """The request to refuse if the queue is too long; None if it is not.

        This is the newest request of a caller with the most queued requests, so that
        one busy caller cannot fill the queue and lock the others out.
        """
        if len(self._queue) <= self.max_queue_length():
            return None
        return self._queue.newest_of_busiest_caller()

    def max_queue_length(self) -> int:
        """The number of requests that can be answered within one deadline."""
        answered = (
            self.relative_deadline_s
            * self.allowed_slots()
            / self.expected_service_time_s()
        )
        return max(1, int(answered))

    def predicted_wait_s(self, caller_id: CallerId) -> float:
        """The time until a new request of the caller would be dispatched."""
        slots = self.allowed_slots()
        if not self._queue and len(self._in_flight) < slots:
            return 0.0
        ahead = self._queue.count_ahead_of(caller_id) + self._in_flight_service_times()
        return ahead * self.expected_service_time_s() / slots

    def backlog_s(self) -> float:
        """The time until all queued and in-flight requests are answered."""
        work = len(self._queue) + self._in_flight_service_times()
        return work * self.expected_service_time_s() / self.allowed_slots()

    def pressure(self) -> float:
        """The queue's waiting time as a share of the longest admitted, at most 1."""
        longest_s = (
            self.relative_deadline_s
            - ADMISSION_SERVICE_TIMES * self.expected_service_time_s()
        )
        if longest_s <= 0:
            return 1.0
        waiting_s = (
            len(self._queue) * self.expected_service_time_s() / self.allowed_slots()
        )
        return min(1.0, waiting_s / longest_s)

    def latest_dispatch_s(self, request: Request) -> float:
        """The last moment at which a dispatch can still meet the deadline."""
        return (
            request.deadline_s - DISPATCH_SERVICE_TIMES * self.expected_service_time_s()
        )

    def make_refusal(self, reason: Reason) -> Refused:
        """A refusal with a Retry-After time."""
        clear_s = max(self.backlog_s(), self._health.min_recovery_s())
        rate = self.allowed_slots() / self.expected_service_time_s()
        return Refused(reason, self._pacer.next_retry_after_s(clear_s, rate))

    def _in_flight_service_times(self) -> float:
        """The remaining work of the requests in flight, in mean service times.

        A request that has exceeded the expected service time is assumed to need the
        excess once more, so that a stalled upstream raises the predicted wait before
        its requests time out.
        """
        now_s = self._environment.clock.now_s()
        service_time_s = self.expected_service_time_s()
        residual = 0.0
        for request in self._in_flight:
            done = (now_s - request.dispatched_s) / service_time_s
            residual += 1 - done if done < 1 else done - 1
        return residual
