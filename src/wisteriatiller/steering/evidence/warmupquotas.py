"""Divides the limit of each cold upstream among the hosts of a zone.

No host sees the opening packets of all hosts. So the limit is divided in advance: each
zone has a fixed part of it, and the zone's reader lends whole flows of that part to
single hosts. A host counts only its own packets, and no clocks are compared.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from wisteriatiller.ids import Address, ServiceId, ZoneId

from ..directory import DirectoryEntry, UpstreamDirectory
from ..routes import ConfigView, WarmupSettings
from ..settings import SteeringSettings
from ..upstreams import Tag
from .coldness import cold_until_s
from .findings import FINDINGS_TTL_S, ServiceLoad

# A quota counts for a sliding window of this length. It exceeds a second since packets
# may arrive closer together than they were sent.
QUOTA_WINDOW_S = 1.1
# How long a quota may still be used after the reader has handed it out: a follower may
# apply the snapshot late, use it until it expires, and the last packet counts in the
# window that follows.
LEASE_S = 0.6 + FINDINGS_TTL_S + QUOTA_WINDOW_S
# A host that has not reported for this long gets no quota.
HOST_TTL_S = 1.5
# What a zone opens at an upstream that may be down, besides the trials of suspects.
DOWN_FLOWS = 1
# A host that has just started learns the others of its zone one by one, from exchanges
# that are 3 s apart. After two without a new one it knows them.
SETTLE_S = 6.5


class KnownHosts(NamedTuple):
    """The hosts that a host knows, by zone.

    ``in_own_zone`` counts the host itself, and ``other_zones`` are those of which it
    knows a host.
    """

    in_own_zone: int
    other_zones: frozenset[ZoneId]


class Demand(NamedTuple):
    """What a quota is computed from, besides the limit.

    ``shares`` holds the paced shares of warming upstreams, and ``loads`` tells how many
    flows the hosts of the zone open. The upstreams in ``returned`` may be cold although
    their entries do not tell; those in ``down`` may become so at any moment.
    """

    shares: Mapping[Tag, float]
    loads: tuple[ServiceLoad, ...]
    returned: frozenset[Tag] = frozenset()
    down: frozenset[Tag] = frozenset()


class _Lease(NamedTuple):
    flows: int
    until_s: float


class _Leases:
    """The quotas of one upstream that hosts may still use."""

    def __init__(self):
        self._by_host: dict[Address, list[_Lease]] = {}

    def grant(self, host: Address, wanted: int, budget: int, now_s: float) -> int:
        """Lend as much as is wanted and left; return how much it is."""
        self._expire(now_s)
        lent_to_others = sum(
            max(lease.flows for lease in leases)
            for other, leases in self._by_host.items()
            if other != host
        )
        granted = max(0, min(wanted, budget - lent_to_others))
        if granted:
            leases = self._by_host.setdefault(host, [])
            leases[:] = [lease for lease in leases if lease.flows > granted]
            leases.append(_Lease(granted, now_s + LEASE_S))
        return granted

    def _expire(self, now_s: float) -> None:
        for host, leases in list(self._by_host.items()):
            leases[:] = [lease for lease in leases if lease.until_s > now_s]
            if not leases:
                del self._by_host[host]


class WarmupQuotas:
    """Lends the quotas of cold upstreams while this host reads for its zone.

    Two readers of a zone must not lend the same flows. So a reader lends none until it
    knows the hosts of its zone and the quotas of an earlier reader have expired, and
    only while most of the known hosts report to it.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        own: Address,
        directory: UpstreamDirectory,
        config: ConfigView,
    ):
        self._settings = settings
        self._own = own
        self._directory = directory
        self._config = config
        self._reported_at_s: dict[Address, float] = {}
        self._leases: dict[Tag, _Leases] = {}
        self._reading_since_s: float | None = None
        self._demand = Demand({}, ())
        self._hosts_known = 0
        self._hosts_known_since_s = float("-inf")
        self._is_settled = False

    def follow(self, known: KnownHosts, now_s: float) -> None:
        """Lend nothing while another host reads for the zone."""
        self._reading_since_s = None
        self._leases.clear()
        self._reported_at_s.clear()
        self._settle(known, now_s)

    def read(self, demand: Demand, known: KnownHosts, now_s: float) -> None:
        """Go on as the zone's reader, with the present demand."""
        if self._reading_since_s is None:
            self._reading_since_s = now_s
        self._demand = demand
        self._settle(known, now_s)
        self.add_host(self._own, now_s)

    def add_host(self, host: Address, now_s: float) -> None:
        """Record that a host has reported, as it does to no other reader."""
        self._reported_at_s[host] = now_s

    def quotas_of(
        self, host: Address, known: KnownHosts, now_s: float
    ) -> dict[Tag, int]:
        """The flows that a host may open at each cold upstream in any window.

        All cold upstreams are named, with 0 if others have the flows.
        """
        self._drop_silent_hosts(now_s)
        is_lender = self._reading_since_s is not None and self._may_lend(known, now_s)
        if not is_lender or host not in self._reported_at_s:
            return {}
        cold = self._cold_entries(now_s)
        for tag in self._leases.keys() - cold.keys():
            del self._leases[tag]
        other_zones = self._other_zone_count(known) if cold else 0
        return {
            tag: self._grant(entry, warmup, host, other_zones, now_s)
            for tag, (entry, warmup) in cold.items()
        }

    def _settle(self, known: KnownHosts, now_s: float) -> None:
        """Note when this host has known the hosts of its zone for long enough, once.

        Later ones that join find a reader that knows the others.
        """
        if known.in_own_zone != self._hosts_known:
            self._hosts_known = known.in_own_zone
            self._hosts_known_since_s = now_s
        elif now_s - self._hosts_known_since_s >= SETTLE_S:
            self._is_settled = True

    def _drop_silent_hosts(self, now_s: float) -> None:
        self._reported_at_s = {
            host: reported_at_s
            for host, reported_at_s in self._reported_at_s.items()
            if now_s - reported_at_s <= HOST_TTL_S
        }

    def _may_lend(self, known: KnownHosts, now_s: float) -> bool:
        if not self._is_settled or now_s - self._reading_since_s < LEASE_S:
            return False
        # A host that knows no other one may be cut off from all.
        is_alone = known.in_own_zone == 1 and not known.other_zones
        return not is_alone and 2 * len(self._reported_at_s) > known.in_own_zone

    def _cold_entries(
        self, now_s: float
    ) -> dict[Tag, tuple[DirectoryEntry, WarmupSettings]]:
        config = self._config.config
        return {
            entry.tag: (entry, warmup)
            for warmup in (() if config is None else config.warmups)
            if warmup.flows_per_s > 0
            for entry in self._directory.eligible_entries(warmup.service)
            if now_s < cold_until_s(entry, warmup)
            or entry.tag in self._demand.returned | self._demand.down
        }

    def _grant(
        self,
        entry: DirectoryEntry,
        warmup: WarmupSettings,
        host: Address,
        other_zones: int,
        now_s: float,
    ) -> int:
        budget = zone_budget(
            flow_limit(self._settings, warmup),
            other_zones,
            entry.upstream.zone == self._settings.zone,
        )
        wanted = self._part_of(host, entry.tag, self._target(entry, budget))
        leases = self._leases.setdefault(entry.tag, _Leases())
        return leases.grant(host, wanted, budget, now_s)

    def _other_zone_count(self, known: KnownHosts) -> int:
        """How many other zones have hosts, or upstreams that a route may use."""
        zones = {
            entry.upstream.zone
            for entry in self._directory.entries()
            if self._config.names_service(entry.upstream.service)
        }
        return len((zones | known.other_zones) - {self._settings.zone})

    def _target(self, entry: DirectoryEntry, budget: int) -> int:
        """How many flows the zone should open at an upstream, by its paced share."""
        if entry.tag in self._demand.down:
            return min(budget, DOWN_FLOWS)
        share = self._demand.shares.get(entry.tag, 1.0)
        if share >= 1.0:
            return budget
        even_per_s = self._even_flows_per_s(entry.upstream.service)
        bound = budget if even_per_s == 0.0 else min(budget, even_per_s)
        return min(budget, max(1, math.ceil(share * bound)))

    def _even_flows_per_s(self, service: ServiceId) -> float:
        """The new flows of the zone for each of its upstreams; 0 if unknown."""
        zone = self._settings.zone
        openings_per_s = sum(
            load.openings_per_s
            for load in self._demand.loads
            if load.service == service and load.reporting_zone == zone
        )
        local = [
            entry
            for entry in self._directory.eligible_entries(service)
            if entry.upstream.zone == zone
        ]
        return openings_per_s / len(local) if local else 0.0

    def _part_of(self, host: Address, tag: Tag, flows: int) -> int:
        """The part of one host, if flows are divided evenly.

        A hash of host and upstream ranks the hosts, so that the quotas of several
        upstreams go to different hosts.
        """
        ranked = sorted(self._reported_at_s, key=lambda other: _rank(other, tag))
        each, rest = divmod(flows, len(ranked))
        return each + (ranked.index(host) < rest)


def flow_limit(settings: SteeringSettings, warmup: WarmupSettings) -> int:
    """How many flows all hosts together may open at a cold upstream in a second."""
    limit = warmup.flows_per_s * settings.warmup_overage + settings.warmup_slack_flows
    return math.floor(limit)


def zone_budget(limit: int, other_zones: int, is_own: bool) -> int:
    """The part of a limit that one zone may use.

    Half of it is for the hosts of other zones, which open flows there only if their own
    zone is overloaded or has no upstreams.
    """
    if other_zones == 0:
        return limit
    each = limit // (2 * other_zones)
    return limit - other_zones * each if is_own else each


def _rank(host: Address, tag: Tag) -> int:
    return xxh3_64_intdigest(str(host).encode(), seed=tag)
