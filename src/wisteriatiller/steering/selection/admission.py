"""Decides at an opening packet whether a service can still serve the flow.

It rests on what all hosts know together of the requests in flight, so that the hosts of
all zones come to the same answer.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from wisteriatiller.ids import FlowKey, ServiceId

from ..directory import DirectoryEntry
from ..evidence import FindingsView, OutlierDetector
from ..packets import OverloadEvidence, Packet, RefusalReason, Refuse
from ..routes import ConfigView, Route
from .candidates import draw_by_hash
from .routeuse import RouteUse
from .serviceusage import ServiceUsage, ServiceUsageView

# Upstreams hold five requests for each slot: one in work and four in their queue. The
# last half is left to the most urgent route. Numbers lag by a second, and the requests
# that are just being rejected count too, so the sum of a full service is above five.
FILLING_PER_SLOT = 4.5
FULL_PER_SLOT = 5.5
# A new request may wait for half of the time that its callers want.
ALLOWED_WAIT_FRACTION = 0.5
# Nothing is refused below this fraction of what begins refusals.
RELEASE_FRACTION = 0.8
# How fast the refused fraction rises and falls. A burst lasts for some seconds, and a
# faster fall lets the queues fill and empty in turn.
RISE_PER_S = 0.5
FALL_PER_S = 0.2
# Findings that come after a longer time change the fraction by one step only.
MAX_STEP_S = 1.2
# One finding may show a moment at which the queues happened to be full.
CALLS_TO_BEGIN = 2
# Clients give up a flow that has not opened after 1.4 s.
REFUSAL_MEMORY_S = 1.5
MAX_REMEMBERED_REFUSALS = 10_000
# Keeps the draw apart from the hashes of a flow that choose its upstream.
DRAW_SEED = 0x0AD817


class AdmissionObserver:
    """Is notified when this host begins and stops to refuse flows of a route.

    It ignores that unless a subclass overrides the methods.
    """

    def admission_limited(self, evidence: OverloadEvidence) -> None:
        """Called when some new flows of a route are refused from now on."""

    def admission_unlimited(self, evidence: OverloadEvidence) -> None:
        """Called when all new flows of the route are admitted again."""


class _Gate:
    """The fraction of the flows of a route that is refused at a service.

    It follows the findings in small steps. They are a second old, and queues fill and
    empty in less, so that large steps would refuse too many and too few in turn, and
    hosts that hear a little later would refuse others than the rest.
    """

    def __init__(self):
        self.is_limited = False
        self.probability = 0.0
        self._level = 0.0
        self._calls = 0
        self.usage: ServiceUsage | None = None
        self._updated_at_s = 0.0

    def update(self, usage: ServiceUsage, limits: "_Limits", now_s: float) -> bool:
        """Take account of a new usage; return whether ``is_limited`` has changed."""
        is_new_finding = self.usage is None or usage.finding != self.usage.finding
        self.usage = usage
        passed_s = min(MAX_STEP_S, now_s - self._updated_at_s)
        self._updated_at_s = now_s
        was_limited = self.is_limited
        pressure = limits.pressure(usage)
        if pressure < 1.0:
            self._calls = 0
        elif is_new_finding:
            self._calls += 1
        if not usage.is_known:
            self._level = 0.0
        elif was_limited or self._calls >= CALLS_TO_BEGIN:
            self._approach(limits.probability(usage), passed_s)
        self.is_limited = self._level > 0.0
        self.probability = self._level if pressure >= RELEASE_FRACTION else 0.0
        return self.is_limited != was_limited

    def _approach(self, goal: float, passed_s: float) -> None:
        if goal > self._level:
            self._level = min(goal, self._level + RISE_PER_S * passed_s)
        else:
            self._level = max(goal, self._level - FALL_PER_S * passed_s)


class _Refusal(NamedTuple):
    sequence: int
    refused_at_s: float
    evidence: OverloadEvidence


class AdmissionPolicy:
    """Refuses flows that no upstream can serve in time, the less urgent ones first.

    Nothing is refused while a trusted upstream has room, nor without fresh numbers of
    all zones that have upstreams, nor on a route without time limits.
    """

    def __init__(
        self,
        config: ConfigView,
        outliers: OutlierDetector,
        findings: FindingsView,
        observer: AdmissionObserver,
    ):
        self._route_use = RouteUse(config)
        self._usages = ServiceUsageView(outliers, findings)
        self._observer = observer
        self._gates: dict[tuple[ServiceId, str], _Gate] = {}
        self._refusals: OrderedDict[FlowKey, _Refusal] = OrderedDict()

    def overload_of(
        self,
        packet: Packet,
        route: Route,
        entries: Sequence[DirectoryEntry],
        now_s: float,
    ) -> OverloadEvidence | None:
        """Why a service may not take the flow of an opening packet; None if it may.

        An opening packet that was sent before is admitted unless this host has refused
        it: another host may have forwarded it.
        """
        earlier = self._earlier_refusal(packet, now_s)
        if earlier is not None:
            return earlier.evidence
        has_limits = route.target_latency_ms > 0 and route.timeout_ms > 0
        if packet.retransmit_count or not entries or not has_limits:
            return None
        return self._overload_of_service(packet, route, entries, now_s)

    def refuse(
        self, packet: Packet, evidence: OverloadEvidence, now_s: float
    ) -> Refuse:
        """Refuse the flow, and all later copies of its opening packet."""
        self._refusals[packet.flow] = _Refusal(packet.sequence, now_s, evidence)
        self._refusals.move_to_end(packet.flow)
        if len(self._refusals) > MAX_REMEMBERED_REFUSALS:
            self._refusals.popitem(last=False)
        return Refuse(RefusalReason.OVERLOADED, evidence)

    def _earlier_refusal(self, packet: Packet, now_s: float) -> _Refusal | None:
        refusal = self._refusals.get(packet.flow)
        if refusal is None or refusal.sequence != packet.sequence:
            return None
        is_recent = now_s - refusal.refused_at_s <= REFUSAL_MEMORY_S
        return refusal if is_recent else None

    def _overload_of_service(
        self,
        packet: Packet,
        route: Route,
        entries: Sequence[DirectoryEntry],
        now_s: float,
    ) -> OverloadEvidence | None:
        service = entries[0].upstream.service
        self._route_use.record(service, route, now_s)
        usage = self._usages.usage_of(service, entries, now_s)
        gate = self._gates.setdefault((service, route.name), _Gate())
        has_changed = False
        if gate.usage is not usage:
            is_most_urgent = self._route_use.is_most_urgent(service, route, now_s)
            limits = _Limits.of(route, is_most_urgent)
            has_changed = gate.update(usage, limits, now_s)
        is_refused = gate.probability > 0.0 and _draw(packet.flow) < gate.probability
        if not has_changed and not is_refused:
            return None
        evidence = OverloadEvidence(
            service,
            route.name,
            route.priority,
            usage.in_flight,
            usage.slots,
            usage.wait_s,
            gate.probability,
            usage.age_s(now_s),
        )
        if has_changed:
            self._notify(gate, evidence)
        return evidence if is_refused else None

    def _notify(self, gate: _Gate, evidence: OverloadEvidence) -> None:
        if gate.is_limited:
            self._observer.admission_limited(evidence)
        else:
            self._observer.admission_unlimited(evidence)


class _Limits(NamedTuple):
    """At which usage flows of a route begin to be refused, and at which all are.

    The requests in flight count for each slot, and the wait in seconds. The most urgent
    route is refused by the wait alone.
    """

    is_most_urgent: bool
    begin_wait_s: float
    full_wait_s: float

    @classmethod
    def of(cls, route: Route, is_most_urgent: bool) -> "_Limits":
        if is_most_urgent:
            timeout_s = route.timeout_ms / 1000.0
            return cls(True, timeout_s, timeout_s)
        target_s = route.target_latency_ms / 1000.0
        return cls(False, ALLOWED_WAIT_FRACTION * target_s, target_s)

    def pressure(self, usage: ServiceUsage) -> float:
        """How near a service is to refusals: they begin at 1."""
        if not usage.is_known or usage.has_room:
            return 0.0
        by_wait = (usage.wait_s or 0.0) / self.begin_wait_s
        if self.is_most_urgent:
            return by_wait
        return max(by_wait, usage.per_slot / FILLING_PER_SLOT)

    def probability(self, usage: ServiceUsage) -> float:
        """The fraction of new flows to refuse if the usage stays as it is."""
        if not usage.is_known or usage.has_room:
            return 0.0
        by_wait = _ramp(usage.wait_s or 0.0, self.begin_wait_s, self.full_wait_s)
        if self.is_most_urgent:
            return by_wait
        return max(by_wait, _ramp(usage.per_slot, FILLING_PER_SLOT, FULL_PER_SLOT))


def _ramp(value: float, begin: float, full: float) -> float:
    """Rise from 0 at ``begin`` to 1 at ``full``.

    >>> _ramp(5.0, 4.0, 6.0)
    0.5
    """
    if value <= begin:
        return 0.0
    return 1.0 if value >= full else (value - begin) / (full - begin)


def _draw(flow: FlowKey) -> float:
    """A number from 0 to 1 that is random for each flow, and the same on every host.

    The port of the client is part of the key. So a client that tries again on another
    port draws again, with the same chance as any other flow at that moment.
    """
    return draw_by_hash(flow, DRAW_SEED)
