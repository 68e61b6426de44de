"""Admission of requests to an upstream's queue, and when to come back.

A request that cannot be answered before its deadline is refused on arrival, while
the caller can still do something else, and without using a slot.
"""

import math
from collections.abc import Collection

from wisteriatiller.configuration import Service, Upstream
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import CallerId
from wisteriatiller.outcomes import Reason, Refused

from .health import UpstreamHealth
from .queueing import FairQueue, Request

# Share of the capacity that callers told to come back may use; the rest is left to
# new requests, so that a wave of returns does not cause the next wave of refusals.
RETURNING_CAPACITY_SHARE = 0.8
# Longer delays would keep callers away after the overload has ended.
MAX_RETRY_AFTER_S = 60.0
# Share of the delay added at random, because the callers' clocks and the whole
# seconds of Max-Age would otherwise bring them back in step.
JITTER_SHARE = 0.25
# A request is admitted with room for this many mean service times, and dispatched
# with room for slightly less than one: a late answer would be of no use.
ADMISSION_SERVICE_TIMES = 1.25
# The predicted wait is raised by this factor, since a request that waited in vain is
# refused later than one that was refused on arrival.
WAIT_SAFETY_FACTOR = 1.15
DISPATCH_SERVICE_TIMES = 0.9
RECENT_MEAN_DISCOUNT = 0.75
# Without any answer yet, an upstream is assumed to answer this many requests per slot
# within the deadline. A low number would refuse most of the burst of requests that a
# new owner gets; if the assumption is wrong, queued requests are refused later.
ASSUMED_ANSWERS_PER_DEADLINE = 50


class RetryAfterPacer:
    """Spreads the callers that are told to come back over the capacity."""

    def __init__(self, environment: Environment):
        self._environment = environment
        self._next_s = 0.0

    def next_retry_after_s(self, clear_s: float, rate: float) -> float:
        """A whole number of seconds after which one more caller may come back.

        ``clear_s`` is the time for the backlog to clear, and ``rate`` the requests a
        second that the upstream can answer.
        """
        draw = self._environment.random.random
        now_s = self._environment.clock.now_s()
        earliest_s = max(self._next_s, now_s + min(clear_s, MAX_RETRY_AFTER_S))
        if earliest_s - now_s < MAX_RETRY_AFTER_S:
            self._next_s = earliest_s + 1 / (rate * RETURNING_CAPACITY_SHARE)
            delay_s = earliest_s - now_s
        else:
            delay_s = MAX_RETRY_AFTER_S * (0.5 + draw() / 2)
        # The added second makes the rounding down to whole seconds unbiased.
        delay_s += draw() * (1 + JITTER_SHARE * delay_s)
        return float(max(1, math.floor(delay_s + draw())))


class AdmissionControl:
    """Decides whether a new request may wait for a slot of the upstream."""

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
        self._service = service
        self._upstream = upstream

    @property
    def relative_deadline_s(self) -> float:
        return self._service.deadline_ms / 1000

    def expected_service_time_s(self) -> float:
        """The expected time from dispatch to answer."""
        health = self._health
        if health.mean_service_time_s is None:
            return self.relative_deadline_s / ASSUMED_ANSWERS_PER_DEADLINE
        # The steady mean predicts best, unless the upstream has just become slower.
        return max(
            health.mean_service_time_s,
            RECENT_MEAN_DISCOUNT * health.recent_service_time_s,
        )

    def allowed_slots(self) -> int:
        slots = self._upstream.slots
        return min(slots, self._health.allowed_in_flight(slots))

    def refusal_for(self, caller_id: CallerId) -> Refused | None:
        """The refusal of a new request of the caller, None if it may wait."""
        if self._health.is_down:
            return self.make_refusal(Reason.UPSTREAM_DOWN)
        if not self._in_flight and not self._queue:
            # One request at a time is always let through: without answers, a service
            # time measured in a bad moment would never be corrected.
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
        """The request to refuse if the queue is longer than its bound.

        It is the newest one of a caller with the most waiting requests, so that one
        busy caller cannot fill the queue and keep the others out.
        """
        if len(self._queue) <= self.max_queue_length():
            return None
        return self._queue.newest_of_busiest_caller()

    def max_queue_length(self) -> int:
        """Requests that can be answered within one deadline."""
        answered = (
            self.relative_deadline_s
            * self.allowed_slots()
            / self.expected_service_time_s()
        )
        return max(1, int(answered))

    def predicted_wait_s(self, caller_id: CallerId) -> float:
        """Time until a new request of the caller would be dispatched."""
        slots = self.allowed_slots()
        if not self._queue and len(self._in_flight) < slots:
            return 0.0
        ahead = self._queue.count_ahead_of(caller_id) + self._in_flight_service_times()
        return ahead * self.expected_service_time_s() / slots

    def backlog_s(self) -> float:
        """Time to clear everything queued and in flight."""
        work = len(self._queue) + self._in_flight_service_times()
        return work * self.expected_service_time_s() / self.allowed_slots()

    def pressure(self) -> float:
        """The backlog as a share of the wait that admission allows, at most 1."""
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
        """When it is too late to dispatch the request."""
        return (
            request.deadline_s - DISPATCH_SERVICE_TIMES * self.expected_service_time_s()
        )

    def make_refusal(self, reason: Reason) -> Refused:
        """A refusal with a time to come back."""
        clear_s = max(self.backlog_s(), self._health.min_recovery_s())
        rate = self.allowed_slots() / self.expected_service_time_s()
        return Refused(reason, self._pacer.next_retry_after_s(clear_s, rate))

    def _in_flight_service_times(self) -> float:
        """Service times left of the requests in flight.

        A request that already took longer than expected is assumed to need as long
        again, so that a stalled upstream shows before its requests time out.
        """
        now_s = self._environment.clock.now_s()
        service_time_s = self.expected_service_time_s()
        residual = 0.0
        for request in self._in_flight:
            done = (now_s - request.dispatched_s) / service_time_s
            residual += 1 - done if done < 1 else done - 1
        return residual
