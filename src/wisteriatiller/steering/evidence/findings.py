"""What the hosts of a deployment know together of its upstreams.

A reader computes findings from the reports of its zone and hands them to its followers,
and to the readers of other zones.
"""

from collections.abc import Mapping
from typing import NamedTuple

from wisteriatiller.ids import Address, ServiceId, ZoneId

from ..upstreams import Tag

# Findings that are not renewed for this long no longer count.
FINDINGS_TTL_S = 2.0
# A load that was measured longer ago says nothing about the present one.
MAX_LOAD_AGE_S = 3.0


class ServiceLoad(NamedTuple):
    """The load that the hosts of one zone put on a service's upstreams in one zone.

    ``in_flight`` is the number of requests without an answer, ``answers_per_s`` and
    ``openings_per_s`` are rates over the last seconds, and ``age_s`` tells how long
    ago the load was measured. Each load is measured by one zone only, so that the sum
    over ``reporting_zone`` counts no request twice.
    """

    reporting_zone: ZoneId
    service: ServiceId
    upstream_zone: ZoneId
    in_flight: int
    answers_per_s: float
    openings_per_s: float
    age_s: float = 0.0


class SilentUpstream(NamedTuple):
    """A silent upstream in the lifetime that began at ``started_ms``.

    ``silent_ms`` is how long it had answered nobody when the findings were computed.
    ``trial_host`` may send it one new flow; with each ``trial_number`` it is chosen
    anew. It is None if no host is to try.
    """

    tag: Tag
    started_ms: int
    silent_ms: int
    trial_host: Address | None
    trial_number: int


class ZoneFindings(NamedTuple):
    """Shares of new flows, silent upstreams and loads, as a reader hands them out.

    ``shares`` holds the fractions of the upstreams that get less than their usual share
    of new flows, and full shares of those that have just warmed up. ``silent`` holds
    the tags of those that answer nobody, and ``silent_upstreams`` what else is known of
    the latter. ``warmup_quotas`` is for one host: how many flows it may open at each
    cold upstream with a limit.
    """

    shares: Mapping[Tag, float] = {}
    silent: frozenset[Tag] = frozenset()
    loads: tuple[ServiceLoad, ...] = ()
    warmup_quotas: Mapping[Tag, int] = {}
    silent_upstreams: tuple[SilentUpstream, ...] = ()


NO_FINDINGS = ZoneFindings()


class FindingsView:
    """The findings in force at a host; they expire unless they are renewed."""

    def __init__(self):
        self._findings = NO_FINDINGS
        self._set_at_s = float("-inf")

    def set(self, findings: ZoneFindings, now_s: float) -> None:
        self._findings = findings
        self._set_at_s = now_s

    def current(self, now_s: float) -> ZoneFindings:
        """The findings in force; ``NO_FINDINGS`` if they have expired."""
        is_expired = now_s - self._set_at_s > FINDINGS_TTL_S
        return NO_FINDINGS if is_expired else self._findings

    def share_of(self, tag: Tag, now_s: float) -> float:
        """The fraction of its usual share that an upstream may take; 1 by default."""
        return self.current(now_s).shares.get(tag, 1.0)

    def names_share_of(self, tag: Tag, now_s: float) -> bool:
        """Whether the findings tell a share of the upstream, if only a full one."""
        return tag in self.current(now_s).shares

    def names_quota_of(self, tag: Tag, now_s: float) -> bool:
        """Whether the reader takes the upstream for cold and divides its limit."""
        return tag in self.current(now_s).warmup_quotas

    def warmup_quota(self, tag: Tag, now_s: float) -> int:
        """How many flows this host may open at a cold upstream; 0 by default."""
        return self.current(now_s).warmup_quotas.get(tag, 0)

    def is_silent(self, tag: Tag, now_s: float) -> bool:
        """Whether the upstream answers nobody in its zone."""
        return tag in self.current(now_s).silent

    def silent_upstream(self, tag: Tag, now_s: float) -> SilentUpstream | None:
        """What is known of a silent upstream, with its present ``silent_ms``."""
        findings = self.current(now_s)
        if tag not in findings.silent:
            return None
        since_ms = round(1000.0 * (now_s - self._set_at_s))
        for silent in findings.silent_upstreams:
            if silent.tag == tag:
                return silent._replace(silent_ms=silent.silent_ms + since_ms)
        return None

    def loads(self, now_s: float) -> tuple[ServiceLoad, ...]:
        """The loads that are recent enough, with their present ages."""
        since_s = now_s - self._set_at_s
        aged = (
            load._replace(age_s=load.age_s + since_s)
            for load in self.current(now_s).loads
        )
        return tuple(load for load in aged if load.age_s <= MAX_LOAD_AGE_S)
