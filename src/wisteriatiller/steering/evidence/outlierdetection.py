"""Passive health checks: detects failing upstreams from the clients' packets.

A client's packet that acknowledges more than the one before proves that its upstream
was alive a round trip ago. A retransmission counts against the upstream, since the
upstream or the path to it may be down, unless the upstream has answered another flow in
the meantime.
"""

from enum import Enum

from wisteriatiller.ids import FlowKey, UpstreamId

# A single flow may retransmit because its own packet or the answer was lost. An opening
# packet is answered at once, so that one retransmission of it is enough; a false
# positive only keeps new flows of one host from an upstream for a moment.
SUSPECT_FLOWS = 2
SUSPECT_RETRANSMISSIONS = 3
# A request that waits this many times the average response time counts against its
# upstream.
LONG_WAIT_FACTOR = 4.0
# Weight of a new sample in the moving average of an upstream's response time.
RESPONSE_TIME_WEIGHT = 0.3
# A suspect gets one trial flow after this time. The time doubles with every trial up to
# the maximum, and starts over once the upstream is trusted again.
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 4.0
# Slow start: after its return an upstream's share of new flows grows from the initial
# share to a full one within this time.
SLOW_START_S = 2.0
SLOW_START_INITIAL_SHARE = 0.25
# If nothing has counted against a suspect for this long, what cut it off may be over.
STALE_SUSPICION_S = 8.0
# Retransmissions count until none has been seen for this long.
RETRANSMISSION_WINDOW_S = 3.0


class HealthState(Enum):
    TRUSTED = "trusted"
    SUSPECT = "suspect"


class UpstreamHealth:
    """The passive health state of one upstream."""

    __slots__ = (
        "_average_response_s",
        "_ejection_s",
        "_has_missing_answers",
        "_last_answer_at_s",
        "_last_retransmission_at_s",
        "_retransmissions",
        "_retransmitting_flows",
        "_returned_at_s",
        "_suspected_at_s",
        "_trial_due_at_s",
        "last_progress_at_s",
        "state",
    )

    def __init__(self):
        self.state = HealthState.TRUSTED
        self.last_progress_at_s = float("-inf")
        self._retransmitting_flows: set[FlowKey] = set()
        self._retransmissions = 0
        self._last_retransmission_at_s = float("-inf")
        self._ejection_s = MIN_EJECTION_S
        self._suspected_at_s = float("-inf")
        self._trial_due_at_s = 0.0
        self._returned_at_s = float("-inf")
        # Whether requests got no answer. Only an answer ends this suspicion: an
        # upstream that opens flows may still leave their requests unanswered.
        self._has_missing_answers = False
        self._last_answer_at_s = float("-inf")
        self._average_response_s = 0.0

    def record_progress(self, now_s: float) -> bool:
        """Record a sign of life; return whether it ends a suspicion."""
        self.last_progress_at_s = now_s
        if self._retransmissions:
            self._retransmitting_flows.clear()
            self._retransmissions = 0
        if self.state is HealthState.TRUSTED or self._has_missing_answers:
            return False
        self.state = HealthState.TRUSTED
        self._ejection_s = MIN_EJECTION_S
        self._returned_at_s = now_s
        return True

    def record_answer(self, now_s: float) -> bool:
        """Record an answer to a request; return whether it ends a suspicion."""
        self._last_answer_at_s = now_s
        self._has_missing_answers = False
        return self.record_progress(now_s)

    def record_response_time(self, waited_s: float) -> None:
        """Add a sample to the moving average of the response time."""
        self._average_response_s += RESPONSE_TIME_WEIGHT * (
            waited_s - self._average_response_s
        )

    def record_missing_answer(self, asked_at_s: float, now_s: float) -> bool:
        """Record that a request sent at ``asked_at_s`` has no answer yet.

        Returns whether this makes the upstream a suspect. An upstream that has answered
        another request since then, or whose average response time explains the wait,
        does not become one.
        """
        is_usual = now_s - asked_at_s < LONG_WAIT_FACTOR * self._average_response_s
        if self._last_answer_at_s > asked_at_s or is_usual:
            return False
        self._has_missing_answers = True
        if self.state is HealthState.SUSPECT:
            return False
        self._suspect(now_s)
        return True

    def record_retransmission(
        self, flow: FlowKey, sent_at_s: float, now_s: float, is_opening: bool = False
    ) -> bool:
        """Record the retransmission of a packet sent at ``sent_at_s``.

        Returns whether this makes the upstream a suspect.
        """
        if self.last_progress_at_s > sent_at_s:
            return False
        if now_s - self._last_retransmission_at_s > RETRANSMISSION_WINDOW_S:
            self._retransmitting_flows.clear()
            self._retransmissions = 0
        self._last_retransmission_at_s = now_s
        self._retransmitting_flows.add(flow)
        self._retransmissions += 1
        if self.state is HealthState.SUSPECT:
            return False
        is_enough = (
            is_opening
            or len(self._retransmitting_flows) >= SUSPECT_FLOWS
            or self._retransmissions >= SUSPECT_RETRANSMISSIONS
        )
        if not is_enough:
            return False
        self._suspect(now_s)
        return True

    def _suspect(self, now_s: float) -> None:
        self.state = HealthState.SUSPECT
        self._suspected_at_s = now_s
        self._trial_due_at_s = now_s + self._ejection_s

    def retransmitting_flows(self) -> int:
        """The number of flows whose retransmissions count at present."""
        return len(self._retransmitting_flows)

    def suspected_for_s(self, now_s: float) -> float:
        """How long ago the last suspicion began; infinity if there was none."""
        return now_s - self._suspected_at_s

    def is_trial_due(self, now_s: float) -> bool:
        """Whether a suspect may get one new flow as a trial."""
        return now_s >= self._trial_due_at_s

    def is_suspicion_stale(self, now_s: float) -> bool:
        """Whether no retransmission has counted against the upstream for long."""
        return now_s - self._last_retransmission_at_s >= STALE_SUSPICION_S

    def record_trial(self, now_s: float) -> None:
        """Record that a suspect gets a trial flow, and double the wait for the next."""
        self._ejection_s = min(2 * self._ejection_s, MAX_EJECTION_S)
        self._trial_due_at_s = now_s + self._ejection_s

    def slow_start_share(self, now_s: float) -> float:
        """The fraction of an even share of new flows during slow start, up to 1."""
        returned_s = now_s - self._returned_at_s
        if returned_s >= SLOW_START_S:
            return 1.0
        return (
            SLOW_START_INITIAL_SHARE
            + (1.0 - SLOW_START_INITIAL_SHARE) * returned_s / SLOW_START_S
        )


class OutlierDetector:
    """Holds the passive health state of all upstreams."""

    def __init__(self):
        self._upstreams: dict[UpstreamId, UpstreamHealth] = {}

    def health_of(self, upstream_id: UpstreamId) -> UpstreamHealth:
        """The state of an upstream; a new one is trusted."""
        found = self._upstreams.get(upstream_id)
        if found is None:
            found = self._upstreams[upstream_id] = UpstreamHealth()
        return found

    def reset(self, upstream_id: UpstreamId) -> None:
        """Forget the state of an upstream that is gone or has a new lifetime."""
        self._upstreams.pop(upstream_id, None)
