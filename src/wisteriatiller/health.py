"""Health and clock of one upstream, from probes and answers."""

import json

from . import proxyheader
from .environment import Environment
from .exceptions import MessageError
from .ids import UpstreamId

PROBE_INTERVAL_S = 1.0
PROBE_LIFETIME_S = 5.0
# The clock offset is refreshed often enough for drift to stay below a millisecond.
OFFSET_LIFETIME_S = 30.0


class UpstreamHealth:
    """What an owner knows of an upstream's condition."""

    def __init__(self, environment: Environment, upstream_id: UpstreamId):
        self.upstream_id = upstream_id
        self.report: dict = {}
        self._environment = environment
        self._sent_s: dict[bytes, float] = {}
        self._offset_ms: float | None = None
        self._offset_at_s = 0.0

    def probe(self) -> bytes:
        """A health probe to send now."""
        now_s = self._environment.clock.now_s()
        nonce = self._environment.random.randbytes(8)
        self._sent_s = {
            key: sent_s
            for key, sent_s in self._sent_s.items()
            if now_s - sent_s < PROBE_LIFETIME_S
        }
        self._sent_s[nonce] = now_s
        return proxyheader.pack_local({proxyheader.TLV_NONCE: nonce})

    def handle_probe_answer(self, header: proxyheader.LocalHeader) -> None:
        """Take an answer; raise ``MessageError`` if it answers no probe of ours."""
        sent_s = self._sent_s.pop(header.tlv.get(proxyheader.TLV_NONCE, b""), None)
        clock = header.tlv.get(proxyheader.TLV_CLOCK, b"")
        if sent_s is None or len(clock) != 8:
            raise MessageError("unexpected probe answer")
        # The upstream read its clock before we received the answer, so the offset
        # from the receive time is a lower bound and a deadline is never too late.
        now_s = self._environment.clock.now_s()
        self._offset_ms = int.from_bytes(clock, "big") - now_s * 1000
        self._offset_at_s = now_s
        try:
            report = json.loads(header.tlv.get(proxyheader.TLV_REPORT, b"{}"))
        except ValueError as error:
            raise MessageError("undecodable load report") from error
        self.report = report if isinstance(report, dict) else {}

    def upstream_clock_ms(self, at_s: float) -> int | None:
        """A time of our clock on the upstream's clock, never later than the truth."""
        now_s = self._environment.clock.now_s()
        if self._offset_ms is None or now_s - self._offset_at_s > OFFSET_LIFETIME_S:
            return None
        return max(0, int(at_s * 1000 + self._offset_ms))

    def allowed_in_flight(self, slots: int) -> int:
        return slots

    def succeeded(self, latency_s: float) -> None:
        """Note an answer."""

    def failed(self) -> None:
        """Note a request without an answer."""
