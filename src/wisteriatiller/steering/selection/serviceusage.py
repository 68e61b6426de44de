"""How full a service is, by the numbers of all hosts."""

from collections.abc import Sequence
from typing import NamedTuple

from wisteriatiller.ids import ServiceId, ZoneId

from ..directory import DirectoryEntry
from ..evidence import (
    FindingsView,
    HealthState,
    OutlierDetector,
    ServiceLoad,
    ZoneFindings,
)
from ..evidence.findings import MAX_LOAD_AGE_S
from ..evidence.zoneloads import RATE_WINDOW_S

# With fewer requests in flight for each slot, new ones find room: a slot has a queue of
# four.
ROOM_PER_SLOT = 3.0


class ServiceUsage(NamedTuple):
    """The requests in flight of a service and the slots that serve them.

    ``has_room`` says that a zone with a trusted upstream has room. ``wait_s`` is how
    long a new request waits at least; None if that is not known. Rejections count as
    answers, so the true wait may be longer. ``is_known`` is False unless there are
    numbers of all zones that have upstreams. The oldest number was measured at
    ``measured_at_s``. ``finding`` tells the findings apart from which usages come: a
    new listing gives another usage by the same finding.
    """

    is_known: bool
    in_flight: int
    slots: int
    wait_s: float | None
    has_room: bool
    measured_at_s: float
    finding: int

    @property
    def per_slot(self) -> float:
        return self.in_flight / self.slots if self.slots else 0.0

    def age_s(self, now_s: float) -> float:
        return now_s - self.measured_at_s


class _ServiceState:
    """The newest usage of a service, and what it was computed from."""

    def __init__(self):
        self.usage: ServiceUsage | None = None
        self.findings: ZoneFindings | None = None
        self.entries: Sequence[DirectoryEntry] | None = None
        self.finding = 0
        # Since when the service has had no room.
        self.full_since_s: float | None = None


class ServiceUsageView:
    """Computes the usage of services once for each finding."""

    def __init__(self, outliers: OutlierDetector, findings: FindingsView):
        self._outliers = outliers
        self._findings = findings
        self._states: dict[ServiceId, _ServiceState] = {}

    def usage_of(
        self, service: ServiceId, entries: Sequence[DirectoryEntry], now_s: float
    ) -> ServiceUsage:
        """The usage of a service; the same object until there are newer findings."""
        state = self._states.setdefault(service, _ServiceState())
        findings = self._findings.current(now_s)
        is_current = findings is state.findings and entries is state.entries
        if not is_current or state.usage.age_s(now_s) > MAX_LOAD_AGE_S:
            state.finding += findings is not state.findings
            state.findings, state.entries = findings, entries
            state.usage = self._compute(state, service, now_s)
        return state.usage

    def _compute(
        self, state: _ServiceState, service: ServiceId, now_s: float
    ) -> ServiceUsage:
        loads = self._findings.loads(now_s)
        slots = self._slots_by_zone(state.entries, now_s)
        # A zone that sends nothing to the service has no row of it, but others.
        reporting = {load.reporting_zone for load in loads}
        listed = {entry.upstream.zone for entry in state.entries}
        if not slots or not listed <= reporting:
            state.full_since_s = None
            return ServiceUsage(False, 0, 0, None, True, now_s, state.finding)
        rows = [
            load
            for load in loads
            if load.service == service and load.upstream_zone in slots
        ]
        in_flight = _in_flight_by_zone(rows)
        has_room = any(
            in_flight.get(zone, 0) < ROOM_PER_SLOT * slots[zone]
            for zone in self._trusted_zones(state.entries, now_s)
        )
        if has_room:
            state.full_since_s = None
        elif state.full_since_s is None:
            state.full_since_s = now_s
        return ServiceUsage(
            True,
            sum(in_flight.values()),
            sum(slots.values()),
            _wait_s(rows, state.full_since_s, now_s),
            has_room,
            now_s - max((load.age_s for load in rows), default=0.0),
            state.finding,
        )

    def _slots_by_zone(
        self, entries: Sequence[DirectoryEntry], now_s: float
    ) -> dict[ZoneId, int]:
        """The slots of the upstreams that answer."""
        slots: dict[ZoneId, int] = {}
        for entry in entries:
            if not self._findings.is_silent(entry.tag, now_s):
                zone = entry.upstream.zone
                slots[zone] = slots.get(zone, 0) + entry.upstream.slots
        return slots

    def _trusted_zones(
        self, entries: Sequence[DirectoryEntry], now_s: float
    ) -> set[ZoneId]:
        """The zones with an upstream that answers and that this host trusts."""
        return {
            entry.upstream.zone
            for entry in entries
            if not self._findings.is_silent(entry.tag, now_s)
            and self._outliers.health_of(entry.upstream.upstream_id).state
            is HealthState.TRUSTED
        }


def _in_flight_by_zone(rows: Sequence[ServiceLoad]) -> dict[ZoneId, int]:
    sums: dict[ZoneId, int] = {}
    for load in rows:
        sums[load.upstream_zone] = sums.get(load.upstream_zone, 0) + load.in_flight
    return sums


def _wait_s(
    rows: Sequence[ServiceLoad], full_since_s: float | None, now_s: float
) -> float | None:
    """The time that the upstreams take for the requests that are in flight.

    The rate of answers tells what the upstreams can do only if they had no room for all
    of the time over which it is a mean.
    """
    if full_since_s is None or now_s - full_since_s < RATE_WINDOW_S:
        return None
    answers_per_s = sum(load.answers_per_s for load in rows)
    if not answers_per_s:
        return None
    return sum(load.in_flight for load in rows) / answers_per_s
