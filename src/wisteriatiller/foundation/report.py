"""Service level reports: request outcomes, latencies and error budgets by service.

A host counts each finished request in its ``ServiceLevelCounters``::

    service_level.record(
        service_id, RequestOutcome.ANSWERED, upstream_id, latency_s=0.012
    )

``build_host_report`` returns the response of a host to ``/report``. ``merge_reports``
adds up the responses of all hosts and computes the error budget burn rate of each
service.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from wisteriatiller.configuration import Configuration
from wisteriatiller.ids import HostId, ServiceId, UpstreamId

from .interfaces import Clock

# The short window shows the current state, the long one whether it persists. Counters
# are lost on a restart, so a window covers at most the time since the host's start.
SHORT_WINDOW_S = 300
LONG_WINDOW_S = 3600
BUCKET_S = 10
# Latencies are counted in histogram bins. The first ends at 0.1 ms, and the upper bound
# of each further bin is 10 percent higher.
LATENCY_BIN_FACTOR = 1.1
MIN_LATENCY_S = 0.0001
MAX_LATENCY_BIN = 200


class RequestOutcome(Enum):
    """The outcome of a request, or of a flow that ended before its response."""

    ANSWERED = "answered"
    # Answered, but after the deadline of the service.
    LATE = "late"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FLOW_BROKEN = "flow_broken"


@dataclass(slots=True)
class _Bucket:
    """The counts of one service in one time interval of ``BUCKET_S``."""

    number: int
    outcomes: Counter = field(default_factory=Counter)
    upstreams: Counter = field(default_factory=Counter)
    latencies: Counter = field(default_factory=Counter)


class ServiceLevelCounters:
    """Counts finished requests per service in a ring buffer of time buckets."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._ring_size = LONG_WINDOW_S // BUCKET_S
        self._rings: dict[ServiceId, list[_Bucket | None]] = {}

    def record(
        self,
        service_id: ServiceId,
        outcome: RequestOutcome,
        upstream_id: UpstreamId | None = None,
        latency_s: float | None = None,
    ) -> None:
        """Count a finished request; ``upstream_id`` is given if an upstream ran it."""
        bucket = self._current_bucket(service_id)
        bucket.outcomes[outcome.value] += 1
        if upstream_id is not None:
            bucket.upstreams[upstream_id] += 1
        if latency_s is not None:
            bucket.latencies[latency_bin(latency_s)] += 1

    def window_totals(self, service_id: ServiceId, window_s: int) -> dict[str, dict]:
        """Return the counts of the last ``window_s`` in JSON-compatible types."""
        newest = self._current_bucket_number()
        oldest = newest - window_s // BUCKET_S
        total = _Bucket(newest)
        for bucket in self._rings.get(service_id, ()):
            if bucket is not None and oldest < bucket.number <= newest:
                total.outcomes.update(bucket.outcomes)
                total.upstreams.update(bucket.upstreams)
                total.latencies.update(bucket.latencies)
        return {
            "outcomes": dict(total.outcomes),
            "upstreams": dict(total.upstreams),
            "latencies": {str(key): count for key, count in total.latencies.items()},
        }

    def _current_bucket_number(self) -> int:
        return int(self._clock.now_s() // BUCKET_S)

    def _current_bucket(self, service_id: ServiceId) -> _Bucket:
        """Return the bucket of the current interval, replacing an outdated one."""
        ring = self._rings.get(service_id)
        if ring is None:
            ring = self._rings[service_id] = [None] * self._ring_size
        number = self._current_bucket_number()
        bucket = ring[number % self._ring_size]
        if bucket is None or bucket.number != number:
            bucket = ring[number % self._ring_size] = _Bucket(number)
        return bucket


def latency_bin(latency_s: float) -> int:
    """Return the number of the histogram bin for a latency."""
    ratio = max(latency_s, MIN_LATENCY_S) / MIN_LATENCY_S
    return min(
        MAX_LATENCY_BIN, math.ceil(math.log(ratio) / math.log(LATENCY_BIN_FACTOR))
    )


def bin_upper_bound_s(number: int) -> float:
    """Return the upper bound of a histogram bin in seconds."""
    return MIN_LATENCY_S * LATENCY_BIN_FACTOR**number


def build_host_report(
    host_id: HostId, configuration: Configuration, service_level: ServiceLevelCounters
) -> dict:
    """Return the response of a host to ``/report``, in JSON-compatible types."""
    return {
        "host_id": host_id,
        "revision": configuration.revision,
        "services": {
            service_id: {
                "objective": service.objective,
                "slots": {
                    upstream.upstream_id: upstream.slots
                    for upstream in service.upstreams.values()
                    if not upstream.drain
                },
                "short": service_level.window_totals(service_id, SHORT_WINDOW_S),
                "long": service_level.window_totals(service_id, LONG_WINDOW_S),
            }
            for service_id, service in configuration.services.items()
        },
    }


@dataclass(frozen=True, slots=True)
class WindowReport:
    """Request outcomes and latencies of a service in one window, over all hosts.

    At a burn rate of 1, the error budget is used up exactly at the end of the period
    that the objective covers; at a higher rate, earlier.
    """

    requests: int
    answered: int
    late: int
    refused: int
    outcome_unknown: int
    flows_broken: int
    burn_rate: float
    p50_ms: float | None
    p99_ms: float | None


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """The service level of one service, over all hosts that answered."""

    service_id: ServiceId
    objective: float
    short: WindowReport
    long: WindowReport
    # The remaining share of the long window's error budget; negative if overspent.
    budget_left: float
    # Requests per slot in the short window: the maximum over all upstreams divided by
    # their mean.
    imbalance: float | None


@dataclass(frozen=True, slots=True)
class FleetReport:
    """The service levels of all services, and which hosts answered."""

    services: tuple[ServiceReport, ...]
    answered_hosts: tuple[HostId, ...]
    silent_hosts: tuple[HostId, ...]


@dataclass(slots=True)
class _ServiceTotals:
    """The counts of one service, added up over hosts.

    ``objective`` and ``slots`` come from the highest configuration revision.
    """

    objective: float
    slots: dict[str, int]
    revision: int
    counts: dict[str, dict[str, Counter]] = field(
        default_factory=lambda: {
            window: {name: Counter() for name in ("outcomes", "upstreams", "latencies")}
            for window in ("short", "long")
        }
    )


def merge_reports(answers: Mapping[HostId, object]) -> FleetReport:
    """Add up the reports of the hosts; hosts without a valid report count as silent."""
    totals_by_service: dict[str, _ServiceTotals] = {}
    answered, silent = [], []
    for host_id, answer in answers.items():
        # Parsed completely before it is merged, so that a partly invalid report adds
        # nothing.
        reported_totals = _parse_host_report(answer)
        if reported_totals is None:
            silent.append(host_id)
            continue
        answered.append(host_id)
        for service_id, totals in reported_totals.items():
            _merge_totals(totals_by_service, service_id, totals)
    services = tuple(
        _service_report(ServiceId(service_id), totals)
        for service_id, totals in sorted(totals_by_service.items())
    )
    return FleetReport(services, tuple(sorted(answered)), tuple(sorted(silent)))


def _parse_host_report(answer: object) -> dict[str, _ServiceTotals] | None:
    """Return the totals of each service in a report, or None if it is invalid."""
    try:
        result = {}
        for service_id, item in answer["services"].items():
            objective, slots = float(item["objective"]), dict(item["slots"])
            if not 0 < objective < 1 or any(count < 1 for count in slots.values()):
                return None
            total = _ServiceTotals(objective, slots, int(answer["revision"]))
            for window, counters in total.counts.items():
                for name, counter in counters.items():
                    for key, count in item[window][name].items():
                        key = int(key) if name == "latencies" else str(key)
                        counter[key] += int(count)
            result[service_id] = total
        return result
    except (LookupError, TypeError, ValueError, AttributeError):
        return None


def _merge_totals(
    totals_by_service: dict[str, _ServiceTotals],
    service_id: str,
    host_totals: _ServiceTotals,
) -> None:
    """Add the totals of one host, keeping the newest objective and slots."""
    merged = totals_by_service.setdefault(service_id, host_totals)
    if merged is host_totals:
        return
    if host_totals.revision > merged.revision:
        merged.objective, merged.slots = host_totals.objective, host_totals.slots
        merged.revision = host_totals.revision
    for window, counters in host_totals.counts.items():
        for name, counter in counters.items():
            merged.counts[window][name].update(counter)


def _service_report(service_id: ServiceId, totals: _ServiceTotals) -> ServiceReport:
    short = _window_report(totals.counts["short"], totals.objective)
    long = _window_report(totals.counts["long"], totals.objective)
    requests_per_slot = [
        totals.counts["short"]["upstreams"][upstream_id] / slots
        for upstream_id, slots in totals.slots.items()
    ]
    mean = sum(requests_per_slot) / len(requests_per_slot) if requests_per_slot else 0.0
    return ServiceReport(
        service_id=service_id,
        objective=totals.objective,
        short=short,
        long=long,
        budget_left=1.0 - long.burn_rate,
        imbalance=max(requests_per_slot) / mean if mean else None,
    )


def _window_report(counts: dict[str, Counter], objective: float) -> WindowReport:
    outcomes = counts["outcomes"]
    requests = sum(outcomes[outcome.value] for outcome in RequestOutcome)
    failed = requests - outcomes[RequestOutcome.ANSWERED.value]
    return WindowReport(
        requests=requests,
        answered=outcomes[RequestOutcome.ANSWERED.value],
        late=outcomes[RequestOutcome.LATE.value],
        refused=outcomes[RequestOutcome.REFUSED.value],
        outcome_unknown=outcomes[RequestOutcome.OUTCOME_UNKNOWN.value],
        flows_broken=outcomes[RequestOutcome.FLOW_BROKEN.value],
        burn_rate=failed / requests / (1.0 - objective) if requests else 0.0,
        p50_ms=_percentile_ms(counts["latencies"], 0.50),
        p99_ms=_percentile_ms(counts["latencies"], 0.99),
    )


def _percentile_ms(latencies: Counter, quantile: float) -> float | None:
    """Return the upper bound of the bin that holds the quantile, in milliseconds."""
    remaining = math.ceil(sum(latencies.values()) * quantile)
    for number in sorted(latencies):
        remaining -= latencies[number]
        if remaining <= 0:
            return bin_upper_bound_s(number) * 1000
    return None
