"""Service levels: what the requests of each service came to.

A host feeds a ``ServiceLevel`` with one call for each finished request::

    level.record(service_id, RequestOutcome.ANSWERED, upstream_id, latency_s=0.012)

``host_report`` is what a host answers to ``/report``; ``merge_reports`` adds up the
answers of all hosts and works out how fast each service uses up its error budget.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from wisteriatiller.configuration import Configuration
from wisteriatiller.ids import HostId, ServiceId, UpstreamId

from .interfaces import Clock

# A short window shows what happens now, a long one whether it lasts. Hosts keep
# nothing over a restart, so a window covers at most the time since the start.
SHORT_WINDOW_S = 300
LONG_WINDOW_S = 3600
BUCKET_S = 10
# Latencies are counted in classes that differ by 10 percent, from 0.1 ms up.
LATENCY_STEP = 1.1
LATENCY_FLOOR_S = 0.0001
MAX_LATENCY_CLASS = 200


class RequestOutcome(Enum):
    """What a request, or a flow that ended before its answer, came to."""

    ANSWERED = "answered"
    # Answered after the service's deadline.
    LATE = "late"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FLOW_BROKEN = "flow_broken"


@dataclass(slots=True)
class _Bucket:
    """The counts of one service in one period of ``BUCKET_S``."""

    number: int
    outcomes: Counter = field(default_factory=Counter)
    upstreams: Counter = field(default_factory=Counter)
    latencies: Counter = field(default_factory=Counter)


class ServiceLevel:
    """Counts finished requests in a ring of buckets for each service."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._size = LONG_WINDOW_S // BUCKET_S
        self._rings: dict[ServiceId, list[_Bucket | None]] = {}

    def record(
        self,
        service_id: ServiceId,
        outcome: RequestOutcome,
        upstream_id: UpstreamId | None = None,
        latency_s: float | None = None,
    ) -> None:
        """Count one request; ``upstream_id`` is given if an upstream ran it."""
        bucket = self._bucket(service_id)
        bucket.outcomes[outcome.value] += 1
        if upstream_id is not None:
            bucket.upstreams[upstream_id] += 1
        if latency_s is not None:
            bucket.latencies[latency_class(latency_s)] += 1

    def totals(self, service_id: ServiceId, window_s: int) -> dict[str, dict]:
        """The counts of the last ``window_s``, as JSON values."""
        newest = self._number()
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

    def _number(self) -> int:
        return int(self._clock.now_s() // BUCKET_S)

    def _bucket(self, service_id: ServiceId) -> _Bucket:
        ring = self._rings.get(service_id)
        if ring is None:
            ring = self._rings[service_id] = [None] * self._size
        number = self._number()
        bucket = ring[number % self._size]
        if bucket is None or bucket.number != number:
            bucket = ring[number % self._size] = _Bucket(number)
        return bucket


def latency_class(latency_s: float) -> int:
    ratio = max(latency_s, LATENCY_FLOOR_S) / LATENCY_FLOOR_S
    return min(MAX_LATENCY_CLASS, math.ceil(math.log(ratio) / math.log(LATENCY_STEP)))


def latency_of_class(number: int) -> float:
    """The upper bound of a class in seconds."""
    return LATENCY_FLOOR_S * LATENCY_STEP**number


def host_report(
    host_id: HostId, configuration: Configuration, level: ServiceLevel
) -> dict:
    """What a host answers to ``/report``."""
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
                "short": level.totals(service_id, SHORT_WINDOW_S),
                "long": level.totals(service_id, LONG_WINDOW_S),
            }
            for service_id, service in configuration.services.items()
        },
    }


@dataclass(frozen=True, slots=True)
class WindowReport:
    """What the requests of a service came to in one window, over all hosts.

    A burn rate of 1 uses up the error budget exactly at the end of the period that
    the objective is for; above 1 it is used up earlier.
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
    """The service level of one service."""

    service_id: ServiceId
    objective: float
    short: WindowReport
    long: WindowReport
    # The share of the long window's error budget that is left; below 0 if overspent.
    budget_left: float
    # Requests by slot of the busiest upstream over their mean, in the short window.
    imbalance: float | None


@dataclass(frozen=True, slots=True)
class FleetReport:
    """The service levels over all hosts that answered."""

    services: tuple[ServiceReport, ...]
    answered_hosts: tuple[HostId, ...]
    silent_hosts: tuple[HostId, ...]


@dataclass(slots=True)
class _ServiceSum:
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
    """Add up the hosts' reports; a host without a usable one counts as silent."""
    sums: dict[str, _ServiceSum] = {}
    answered, silent = [], []
    for host_id, answer in answers.items():
        # Added up apart first, so that an answer broken half way adds nothing.
        host_sums = _host_sums(answer)
        if host_sums is None:
            silent.append(host_id)
            continue
        answered.append(host_id)
        for service_id, item in host_sums.items():
            _add(sums, service_id, item)
    services = tuple(
        _service_report(ServiceId(service_id), item)
        for service_id, item in sorted(sums.items())
    )
    return FleetReport(services, tuple(sorted(answered)), tuple(sorted(silent)))


def _host_sums(answer: object) -> dict[str, _ServiceSum] | None:
    try:
        result = {}
        for service_id, item in answer["services"].items():
            objective, slots = float(item["objective"]), dict(item["slots"])
            if not 0 < objective < 1 or any(count < 1 for count in slots.values()):
                return None
            total = _ServiceSum(objective, slots, int(answer["revision"]))
            for window, counters in total.counts.items():
                for name, counter in counters.items():
                    for key, count in item[window][name].items():
                        key = int(key) if name == "latencies" else str(key)
                        counter[key] += int(count)
            result[service_id] = total
        return result
    except (LookupError, TypeError, ValueError, AttributeError):
        return None


def _add(sums: dict[str, _ServiceSum], service_id: str, item: _ServiceSum) -> None:
    known = sums.setdefault(service_id, item)
    if known is item:
        return
    if item.revision > known.revision:
        known.objective, known.slots = item.objective, item.slots
        known.revision = item.revision
    for window, counters in item.counts.items():
        for name, counter in counters.items():
            known.counts[window][name].update(counter)


def _service_report(service_id: ServiceId, item: _ServiceSum) -> ServiceReport:
    short = _window_report(item.counts["short"], item.objective)
    long = _window_report(item.counts["long"], item.objective)
    loads = [
        item.counts["short"]["upstreams"][upstream_id] / slots
        for upstream_id, slots in item.slots.items()
    ]
    mean = sum(loads) / len(loads) if loads else 0.0
    return ServiceReport(
        service_id=service_id,
        objective=item.objective,
        short=short,
        long=long,
        budget_left=1.0 - long.burn_rate,
        imbalance=max(loads) / mean if mean else None,
    )


def _window_report(counts: dict[str, Counter], objective: float) -> WindowReport:
    outcomes = counts["outcomes"]
    requests = sum(outcomes[outcome.value] for outcome in RequestOutcome)
    bad = requests - outcomes[RequestOutcome.ANSWERED.value]
    return WindowReport(
        requests=requests,
        answered=outcomes[RequestOutcome.ANSWERED.value],
        late=outcomes[RequestOutcome.LATE.value],
        refused=outcomes[RequestOutcome.REFUSED.value],
        outcome_unknown=outcomes[RequestOutcome.OUTCOME_UNKNOWN.value],
        flows_broken=outcomes[RequestOutcome.FLOW_BROKEN.value],
        burn_rate=bad / requests / (1.0 - objective) if requests else 0.0,
        p50_ms=_percentile_ms(counts["latencies"], 0.50),
        p99_ms=_percentile_ms(counts["latencies"], 0.99),
    )


def _percentile_ms(latencies: Counter, share: float) -> float | None:
    remaining = math.ceil(sum(latencies.values()) * share)
    for number in sorted(latencies):
        remaining -= latencies[number]
        if remaining <= 0:
            return latency_of_class(number) * 1000
    return None
