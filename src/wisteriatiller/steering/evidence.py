"""What the clients' own packets say about each upstream.

A client's packet that acknowledges more than the one before proves that its upstream
was alive a round trip ago. A packet that the client repeats speaks against the
upstream, or against the path to it, unless the upstream has answered another flow in
the meantime.
"""

from enum import Enum

from wisteriatiller.ids import FlowKey, UpstreamId

# One open flow alone may repeat because its own packet or the answer was lost. An
# opening packet is answered at once, so that one complaint is enough; being wrong costs
# an upstream no more than a moment without new flows of one host.
SUSPECT_FLOWS = 2
SUSPECT_REPEATS = 3
# A request that waits this many times the usual speaks against its upstream.
LONG_WAIT_FACTOR = 4.0
# The weight of a new wait in an upstream's typical one.
WAIT_GAIN = 0.3
# A suspect takes one new flow after this time, longer each time that one fails.
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 4.0
# After its return an upstream takes a growing share of new flows for this long.
RETURN_RAMP_S = 2.0
RETURN_SHARE = 0.25
# Nothing has been heard against a suspect for this long: what cut it off may be over.
OLD_SUSPICION_S = 8.0
# What speaks against an upstream counts for this long.
COMPLAINT_KEPT_S = 3.0


class Verdict(Enum):
    TRUSTED = "trusted"
    SUSPECT = "suspect"


class UpstreamEvidence:
    """The evidence about one upstream."""

    __slots__ = (
        "_answered_at_s",
        "_complaints",
        "_ejection_s",
        "_is_mute",
        "_last_complaint_s",
        "_repeats",
        "_retry_at_s",
        "_returned_at_s",
        "_typical_wait_s",
        "last_progress_s",
        "verdict",
    )

    def __init__(self):
        self.verdict = Verdict.TRUSTED
        self.last_progress_s = float("-inf")
        self._complaints: set[FlowKey] = set()
        self._repeats = 0
        self._last_complaint_s = float("-inf")
        self._ejection_s = MIN_EJECTION_S
        self._retry_at_s = 0.0
        self._returned_at_s = float("-inf")
        # Whether it is a suspect because requests have no answer; opening a flow does
        # not clear it of that.
        self._is_mute = False
        self._answered_at_s = float("-inf")
        self._typical_wait_s = 0.0

    def progress(self, now_s: float) -> bool:
        """Note a sign of life; True if it ends a suspicion."""
        self.last_progress_s = now_s
        if self._repeats:
            self._complaints.clear()
            self._repeats = 0
        if self.verdict is Verdict.TRUSTED or self._is_mute:
            return False
        self.verdict = Verdict.TRUSTED
        self._ejection_s = MIN_EJECTION_S
        self._returned_at_s = now_s
        return True

    def answered(self, now_s: float) -> bool:
        """Note an answer to a request; True if it ends a suspicion."""
        self._answered_at_s = now_s
        self._is_mute = False
        return self.progress(now_s)

    def waited(self, waited_s: float) -> None:
        """Note how long the upstream took for a request."""
        self._typical_wait_s += WAIT_GAIN * (waited_s - self._typical_wait_s)

    def unanswered(self, asked_at_s: float, now_s: float) -> bool:
        """Note a request of ``asked_at_s`` that has no answer yet.

        Returns True if it makes the upstream a suspect. One that answers others, or
        takes long as a rule, is none.
        """
        is_usual = now_s - asked_at_s < LONG_WAIT_FACTOR * self._typical_wait_s
        if self._answered_at_s > asked_at_s or is_usual:
            return False
        self._is_mute = True
        if self.verdict is Verdict.SUSPECT:
            return False
        self._suspect(now_s)
        return True

    def complaint(
        self, flow: FlowKey, sent_at_s: float, now_s: float, is_opening: bool = False
    ) -> bool:
        """Note that a packet sent at ``sent_at_s`` was repeated.

        Returns True if it makes the upstream a suspect.
        """
        if self.last_progress_s > sent_at_s:
            return False
        if now_s - self._last_complaint_s > COMPLAINT_KEPT_S:
            self._complaints.clear()
            self._repeats = 0
        self._last_complaint_s = now_s
        self._complaints.add(flow)
        self._repeats += 1
        if self.verdict is Verdict.SUSPECT:
            return False
        is_enough = (
            is_opening
            or len(self._complaints) >= SUSPECT_FLOWS
            or self._repeats >= SUSPECT_REPEATS
        )
        if not is_enough:
            return False
        self._suspect(now_s)
        return True

    def _suspect(self, now_s: float) -> None:
        self.verdict = Verdict.SUSPECT
        self._retry_at_s = now_s + self._ejection_s

    def complaining_flows(self) -> int:
        return len(self._complaints)

    def is_due(self, now_s: float) -> bool:
        """Whether a suspect may be tried with one new flow."""
        return now_s >= self._retry_at_s

    def is_old(self, now_s: float) -> bool:
        """Whether nothing has spoken against the upstream for long."""
        return now_s - self._last_complaint_s >= OLD_SUSPICION_S

    def note_trial(self, now_s: float) -> None:
        """Note that a suspect gets a new flow; the next one has to wait longer."""
        self._ejection_s = min(2 * self._ejection_s, MAX_EJECTION_S)
        self._retry_at_s = now_s + self._ejection_s

    def ramp(self, now_s: float) -> float:
        """The part of an even share that a returned upstream may take, up to 1."""
        returned_s = now_s - self._returned_at_s
        if returned_s >= RETURN_RAMP_S:
            return 1.0
        return RETURN_SHARE + (1.0 - RETURN_SHARE) * returned_s / RETURN_RAMP_S


class Evidence:
    """The evidence about all upstreams."""

    def __init__(self):
        self._upstreams: dict[UpstreamId, UpstreamEvidence] = {}

    def of(self, upstream_id: UpstreamId) -> UpstreamEvidence:
        found = self._upstreams.get(upstream_id)
        if found is None:
            found = self._upstreams[upstream_id] = UpstreamEvidence()
        return found

    def forget(self, upstream_id: UpstreamId) -> None:
        """Start anew, since the upstream is gone or has a new lifetime."""
        self._upstreams.pop(upstream_id, None)
