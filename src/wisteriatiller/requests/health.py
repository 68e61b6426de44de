"""Health checks, service time and clock offset of one upstream."""

import json
from collections.abc import Callable
from enum import Enum

from wisteriatiller.exceptions import MessageError
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import UpstreamId
from wisteriatiller.transport import proxyheader

PROBE_INTERVAL_S = 1.0
PROBE_LIFETIME_S = 5.0
# An offset older than this is not used, which keeps clock drift below a millisecond.
CLOCK_OFFSET_LIFETIME_S = 30.0
# An upstream is down after this many failed requests in a row or this long without an
# answer to a probe.
MAX_FAILURES = 3
MAX_PROBE_SILENCE_S = 3.0
# A request without an answer counts as failed after this many recent service times.
MIN_FAILURE_SERVICE_TIMES = 2.0
# An upstream that is down recovers after this many probe answers without a failure, and
# not before its hold-down time, which doubles each time up to the maximum.
SUCCESSES_TO_RECOVER = 5
MIN_HOLD_DOWN_S = 10.0
MAX_HOLD_DOWN_S = 60.0
# An upstream that was up for this long is not flapping: its hold-down time is reset.
MIN_STABLE_S = 120.0
REPORT_LIFETIME_S = 5.0
# A load report is rejected if it differs from the owner's own count by more than this
# factor.
MAX_REPORT_RATIO = 2.0
# A step back by less may be a clock correction; a larger one is taken for a restart.
RESTART_CLOCK_STEP_MS = 100.0
DEFAULT_SLOW_START_S = 10.0
# The short-term mean of service times follows a change within some tens of answers.
RECENT_SERVICE_TIME_GAIN = 0.1
# Flow balancing needs a steadier mean, so that equal upstreams look equal.
MEAN_SERVICE_TIME_GAIN = 0.02


class HealthEvent(Enum):
    """A change in an upstream's availability."""

    DOWN = "down"
    UP = "up"
    RESTARTED = "restarted"


class UpstreamState(Enum):
    """The state in an upstream's load report."""

    READY = "ready"
    COLD = "cold"
    DRAINING = "draining"
    SHEDDING = "shedding"


HealthListener = Callable[[UpstreamId, HealthEvent], None]


class UpstreamHealth:
    """The health of one upstream as seen by its owner.

    It combines active probes, load reports and the outcomes of requests.
    ``is_down`` says that the upstream must not be used. ``recent_service_time_s`` and
    ``mean_service_time_s`` are moving averages over few and over many answers.
    ``count_in_flight`` returns the owner's own number of requests in flight; it is
    None where the owner does not see requests, as for opaque services.
    """

    def __init__(
        self,
        environment: Environment,
        upstream_id: UpstreamId,
        slow_start_s: float = DEFAULT_SLOW_START_S,
        count_in_flight: Callable[[], int] | None = None,
    ):
        self.upstream_id = upstream_id
        self.load_report: dict = {}
        self.recent_service_time_s: float | None = None
        self.mean_service_time_s: float | None = None
        self.is_down = False
        self.count_in_flight = count_in_flight
        self._listeners: list[HealthListener] = []
        self._environment = environment
        self.slow_start_s = slow_start_s
        self._probe_sent_s: dict[bytes, float] = {}
        self._unanswered_since_s: float | None = None
        self._clock_offset_ms: float | None = None
        self._clock_offset_at_s = 0.0
        self._load_report_at_s = 0.0
        self._reported_cold = False
        self._slow_start_began_s: float | None = None
        self._sample_count = 0
        self._failures = 0
        self._successes = 0
        self._success_since_s = 0.0
        self._hold_down_s = MIN_HOLD_DOWN_S
        self._up_since_s = environment.clock.now_s()
        self._answers_since_report = 0
        self._refusals_since_report = 0

    def subscribe(self, listener: HealthListener) -> None:
        """Call ``listener`` with each ``HealthEvent``."""
        self._listeners.append(listener)

    # Probes

    def make_probe(self) -> bytes:
        """Make a probe to send; mark the upstream down if it answered none lately."""
        now_s = self._environment.clock.now_s()
        if not self.is_responsive:
            self._mark_down()
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        nonce = self._environment.random.randbytes(8)
        self._probe_sent_s = {
            key: sent_s
            for key, sent_s in self._probe_sent_s.items()
            if now_s - sent_s < PROBE_LIFETIME_S
        }
        self._probe_sent_s[nonce] = now_s
        return proxyheader.pack_local({proxyheader.TLV_NONCE: nonce})

    @property
    def is_responsive(self) -> bool:
        """False once probes have been unanswered for ``MAX_PROBE_SILENCE_S``.

        An upstream that is down because of failed requests can still answer probes: it
        is then overloaded or stuck, and its flows may continue later.
        """
        return self.unanswered_probe_s < MAX_PROBE_SILENCE_S

    @property
    def unanswered_probe_s(self) -> float:
        """The time since the first unanswered probe; 0 if there is none."""
        if self._unanswered_since_s is None:
            return 0.0
        return self._environment.clock.now_s() - self._unanswered_since_s

    def handle_probe_answer(self, header: proxyheader.LocalHeader) -> None:
        """Process a probe answer; raise ``MessageError`` if its probe is unknown."""
        sent_s = self._probe_sent_s.pop(
            header.tlv.get(proxyheader.TLV_NONCE, b""), None
        )
        clock = header.tlv.get(proxyheader.TLV_CLOCK, b"")
        if sent_s is None or len(clock) != 8:
            raise MessageError("unexpected probe answer")
        self._unanswered_since_s = None
        self._update_clock_offset(int.from_bytes(clock, "big"), sent_s)
        self._update_load_report(header.tlv.get(proxyheader.TLV_REPORT, b"{}"))
        self._record_probe_success()

    def _update_clock_offset(self, clock_ms: int, sent_s: float) -> None:
        # The upstream read its clock before the answer arrived here, so the offset from
        # the time of receipt is a lower bound: a converted deadline is never too late.
        now_s = self._environment.clock.now_s()
        highest_offset_ms = clock_ms - sent_s * 1000
        if (
            self._clock_offset_ms is not None
            and highest_offset_ms < self._clock_offset_ms - RESTART_CLOCK_STEP_MS
        ):
            self._begin_slow_start()
            self._notify(HealthEvent.RESTARTED)
        self._clock_offset_ms = clock_ms - now_s * 1000
        self._clock_offset_at_s = now_s

    def upstream_clock_ms(self, at_s: float) -> int | None:
        """Convert a local time to the upstream's clock; None without a fresh offset.

        The result may be too early, but never too late.
        """
        now_s = self._environment.clock.now_s()
        if (
            self._clock_offset_ms is None
            or now_s - self._clock_offset_at_s > CLOCK_OFFSET_LIFETIME_S
        ):
            return None
        return max(0, int(at_s * 1000 + self._clock_offset_ms))

    # Load reports

    def _update_load_report(self, text: bytes) -> None:
        try:
            report = json.loads(text)
        except ValueError as error:
            raise MessageError("undecodable load report") from error
        report = report if isinstance(report, dict) else {}
        contradicted = self._contradicts_observations(report)
        self._answers_since_report = 0
        self._refusals_since_report = 0
        if contradicted:
            self._environment.metrics.count("health.contradicted_reports")
            return
        self.load_report = report
        self._load_report_at_s = self._environment.clock.now_s()
        cold = report.get("state") == UpstreamState.COLD.value
        if cold and not self._reported_cold:
            self._begin_slow_start()
        self._reported_cold = cold

    def _contradicts_observations(self, report: dict) -> bool:
        """Whether a report contradicts the requests that the owner observes."""
        if self.count_in_flight is None:
            return False
        if (
            report.get("state") == UpstreamState.SHEDDING.value
            and self._answers_since_report > 0
            and self._refusals_since_report == 0
        ):
            return True
        reported = _non_negative_number(
            report.get("busy_slots")
        ) + _non_negative_number(report.get("queued"))
        own = self.count_in_flight()
        # A difference of one request is no contradiction: it may be on the network.
        lower, higher = sorted((max(1.0, reported), max(1.0, own)))
        return higher > MAX_REPORT_RATIO * lower

    def reported_state(self) -> UpstreamState | None:
        """The state in the last accepted report; None if it is missing or too old."""
        age_s = self._environment.clock.now_s() - self._load_report_at_s
        if not self.load_report or age_s > REPORT_LIFETIME_S:
            return None
        try:
            return UpstreamState(self.load_report.get("state"))
        except ValueError:
            return None

    # Availability

    @property
    def is_shedding(self) -> bool:
        """Whether the upstream reports load shedding."""
        return self.reported_state() is UpstreamState.SHEDDING

    @property
    def is_available_for_new_flows(self) -> bool:
        """Whether the upstream is up and reports neither shedding nor draining."""
        return not self.is_down and self.reported_state() not in (
            UpstreamState.SHEDDING,
            UpstreamState.DRAINING,
        )

    def slow_start_share(self) -> float:
        """The share of the full load that slow start allows; 1 outside slow start."""
        if self._slow_start_began_s is None:
            return 1.0
        elapsed_s = self._environment.clock.now_s() - self._slow_start_began_s
        if elapsed_s >= self.slow_start_s:
            self._slow_start_began_s = None
            return 1.0
        return elapsed_s / self.slow_start_s

    def allowed_in_flight(self, slots: int) -> int:
        """The requests that may be in flight, from 1 to ``slots`` during slow start."""
        return min(slots, 1 + int(self.slow_start_share() * (slots - 1)))

    def min_recovery_s(self) -> float:
        """The least time until the upstream may be up again; 0 if it is not down."""
        if not self.is_down:
            return 0.0
        if self._successes == 0:
            return self._hold_down_s
        now_s = self._environment.clock.now_s()
        return max(0.0, self._success_since_s + self._hold_down_s - now_s)

    # Requests

    def record_success(self, latency_s: float) -> None:
        """Record an answer and its service time."""
        self._failures = 0
        self._answers_since_report += 1
        self._update_service_time(latency_s)

    def record_refusal(self) -> None:
        """Record a refusal by the upstream: it is alive, but shows no service time."""
        self._failures = 0
        self._refusals_since_report += 1

    def record_failure(self, waited_s: float | None = None) -> None:
        """Record a request that had no answer for ``waited_s``.

        A request dispatched shortly before its deadline or the end of the lease may
        time out on a healthy upstream, so a short wait does not count as a failure.
        """
        if waited_s is not None:
            expected_s = self.recent_service_time_s or 0.0
            self._update_service_time(max(waited_s, expected_s))
            if waited_s < MIN_FAILURE_SERVICE_TIMES * expected_s:
                return
        self._failures += 1
        self._successes = 0
        if self._failures >= MAX_FAILURES:
            self._mark_down()

    def _update_service_time(self, latency_s: float) -> None:
        self._sample_count += 1
        self.recent_service_time_s = self._moving_average(
            self.recent_service_time_s, latency_s, RECENT_SERVICE_TIME_GAIN
        )
        self.mean_service_time_s = self._moving_average(
            self.mean_service_time_s, latency_s, MEAN_SERVICE_TIME_GAIN
        )

    def _moving_average(
        self, mean_s: float | None, latency_s: float, gain: float
    ) -> float:
        # The first answers get equal weights. Otherwise one slow answer at the start
        # would make the upstream look slow for many answers.
        if mean_s is None:
            return latency_s
        return mean_s + max(gain, 1 / self._sample_count) * (latency_s - mean_s)

    # Down and up

    def _mark_down(self) -> None:
        self._successes = 0
        if self.is_down:
            return
        now_s = self._environment.clock.now_s()
        if now_s - self._up_since_s >= MIN_STABLE_S:
            self._hold_down_s = MIN_HOLD_DOWN_S
        self.is_down = True
        self._notify(HealthEvent.DOWN)

    def _record_probe_success(self) -> None:
        if not self.is_down:
            return
        now_s = self._environment.clock.now_s()
        if self._successes == 0:
            self._success_since_s = now_s
        self._successes += 1
        steady_s = now_s - self._success_since_s
        if self._successes >= SUCCESSES_TO_RECOVER and steady_s >= self._hold_down_s:
            self.is_down = False
            self._failures = 0
            self._up_since_s = now_s
            # Doubled for the next time, unless the upstream is up for MIN_STABLE_S.
            self._hold_down_s = min(MAX_HOLD_DOWN_S, 2 * self._hold_down_s)
            self._begin_slow_start()
            self._notify(HealthEvent.UP)

    def _begin_slow_start(self) -> None:
        self._slow_start_began_s = self._environment.clock.now_s()

    def _notify(self, event: HealthEvent) -> None:
        self._environment.metrics.count(f"health.{event.value}")
        for listener in self._listeners:
            listener(self.upstream_id, event)


def _non_negative_number(value) -> float:
    """A value from a load report, 0 if it is negative or not a number."""
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return max(0.0, float(value))
    return 0.0
