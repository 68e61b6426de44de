"""The loads of upstreams, which owners measure and exchange in summaries."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from wisteriatiller.configuration import ConfigSource, Configuration, Service
from wisteriatiller.foundation import Environment, Message, message
from wisteriatiller.ids import HostId, ServiceId, UpstreamId
from wisteriatiller.leases import Ownership
from wisteriatiller.requests import UpstreamDispatcher

from .shardtable import ShardTable

SUMMARY_INTERVAL_S = 1.0
SUMMARY_LIFETIME_S = 5.0
# Unchanged loads are sent only in every third round, still well within their lifetime.
ROUNDS_PER_FULL_SUMMARY = 3
# Bounds the control traffic of owners of large services. With up to 320 peers, each
# peer still gets a summary within the lifetime.
MAX_SUMMARIES_PER_ROUND = 64
RATE_SMOOTHING = 0.5
LOAD_FIELDS = 7


@message(70)
class LoadSummary(Message):
    """Reports the loads of the sender's upstreams.

    Each entry is a tuple of upstream id, open flows, growth of the open flows per
    second, flows opened per second, mean service time in seconds (0 if unknown),
    share and pressure.
    """

    loads: tuple


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The load of one upstream, measured at ``measured_s``.

    ``share`` is the part of its full number of flows that the upstream may get: 0 if
    it takes no new flows, and below 1 during slow start. ``pressure`` is its
    backpressure, from 0 to 1; at 1, it can take no more requests.
    """

    open_flows: float
    growth: float = 0.0
    opening_rate: float = 0.0
    service_time_s: float = 0.0
    share: float = 1.0
    pressure: float = 0.0
    measured_s: float = 0.0


class _FlowRates:
    """Smoothed rates of change of one upstream's flow counts."""

    def __init__(self):
        self.growth = 0.0
        self.opening_rate = 0.0
        self._previous: tuple[int, int] | None = None

    def measure(self, open_flows: int, opened_count: int) -> None:
        """Update the rates; must be called once every ``SUMMARY_INTERVAL_S``."""
        if self._previous is not None:
            growth = (open_flows - self._previous[0]) / SUMMARY_INTERVAL_S
            opening_rate = (opened_count - self._previous[1]) / SUMMARY_INTERVAL_S
            self.growth = round(
                self.growth + RATE_SMOOTHING * (growth - self.growth), 2
            )
            self.opening_rate = round(
                self.opening_rate + RATE_SMOOTHING * (opening_rate - self.opening_rate),
                2,
            )
        self._previous = (open_flows, opened_count)


class LoadTable:
    """The loads of this host's upstreams, and those reported by other owners."""

    def __init__(
        self,
        environment: Environment,
        source: ConfigSource,
        ownership: Ownership,
        shards: ShardTable,
    ):
        self._environment = environment
        self._source = source
        self._ownership = ownership
        self._shards = shards
        self._remote: dict[UpstreamId, UpstreamLoad] = {}
        self._placed_since_summary: dict[UpstreamId, int] = {}
        self._last_sent: dict[UpstreamId, UpstreamLoad] = {}
        self._rates: dict[UpstreamId, _FlowRates] = {}
        self._round = 0
        self._next_peer_index = 0
        environment.peers.register(LoadSummary, self._handle_summary)

    def load_of(self, upstream_id: UpstreamId) -> UpstreamLoad | None:
        """The present load; None if it is unknown or too old.

        The open flows of another owner's upstream are extrapolated with their growth
        rate and the flows that this host placed there since the last summary.
        """
        local_load = self._local_load(upstream_id)
        if local_load is not None:
            return local_load
        load = self._remote.get(upstream_id)
        if load is None:
            return None
        age_s = self._now_s() - load.measured_s
        if age_s > SUMMARY_LIFETIME_S:
            return None
        placed = self._placed_since_summary.get(upstream_id, 0)
        open_flows = max(0.0, load.open_flows + load.growth * age_s + placed)
        return UpstreamLoad(
            open_flows,
            load.growth,
            load.opening_rate,
            load.service_time_s,
            load.share,
            load.pressure,
            load.measured_s,
        )

    def count_placed(self, upstream_id: UpstreamId) -> None:
        """Count a flow that this host places on another owner's upstream."""
        if upstream_id in self._remote:
            self._placed_since_summary[upstream_id] = (
                self._placed_since_summary.get(upstream_id, 0) + 1
            )

    async def send_periodically(self) -> None:
        """Send summaries every ``SUMMARY_INTERVAL_S`` until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_S)
            self.send_summaries()

    def send_summaries(self) -> None:
        """Report local loads to the owners of the same and of dependent services."""
        self._round += 1
        loads = self._measure_local()
        configuration = self._source.configuration
        self._drop_removed(configuration)
        full = self._round % ROUNDS_PER_FULL_SUMMARY == 0
        by_peer: dict[HostId, list] = {}
        for service_id, local_loads in loads.items():
            peers = self._interested_owners(configuration, service_id)
            for peer in peers:
                by_peer.setdefault(peer, []).extend(local_loads.items())
        peers = self._peers_of_round(sorted(by_peer))
        reaches_all_peers = len(peers) == len(by_peer)
        for peer in peers:
            entries = tuple(
                _summary_entry(upstream_id, load)
                for upstream_id, load in by_peer[peer]
                if full or not reaches_all_peers or self._is_changed(upstream_id, load)
            )
            if entries:
                self._environment.peers.send(peer, LoadSummary(entries))
        for local_loads in loads.values():
            self._last_sent.update(local_loads)

    def _drop_removed(self, configuration: Configuration) -> None:
        """Drop the data of upstreams that are no longer configured."""
        known = configuration.upstreams
        for values in (
            self._remote,
            self._placed_since_summary,
            self._last_sent,
            self._rates,
        ):
            for upstream_id in values.keys() - known.keys():
                del values[upstream_id]

    def _peers_of_round(self, peers: list[HostId]) -> list[HostId]:
        """The peers of this round, in rotation if there are too many for one."""
        if len(peers) <= MAX_SUMMARIES_PER_ROUND:
            return peers
        start = self._next_peer_index % len(peers)
        self._next_peer_index = start + MAX_SUMMARIES_PER_ROUND
        return (peers[start:] + peers[:start])[:MAX_SUMMARIES_PER_ROUND]

    def _measure_local(self) -> dict[ServiceId, dict[UpstreamId, UpstreamLoad]]:
        """Update the rates of the owned upstreams; return their loads by service."""
        loads: dict[ServiceId, dict[UpstreamId, UpstreamLoad]] = {}
        for owned in self._shards:
            if owned.lease_remaining_s() <= 0:
                continue
            for upstream in self._shards.upstreams_of(owned):
                upstream_id = upstream.upstream_id
                self._rates.setdefault(upstream_id, _FlowRates()).measure(
                    owned.flows.open_count(upstream_id),
                    owned.flows.opened_count(upstream_id),
                )
                load = self._local_load(upstream_id)
                # A shard that is frozen for its handover has no load.
                if load is not None:
                    loads.setdefault(upstream.service_id, {})[upstream_id] = load
        return loads

    def _local_load(self, upstream_id: UpstreamId) -> UpstreamLoad | None:
        """The load of an upstream that this host owns, else None."""
        owned = self._shards.get_by_upstream(upstream_id)
        if owned is None:
            return None
        open_flows = owned.flows.open_count(upstream_id)
        rates = self._rates.get(upstream_id) or _FlowRates()
        now_s = self._now_s()
        dispatcher = owned.dispatchers.get(upstream_id)
        if dispatcher is None:
            return UpstreamLoad(
                open_flows, rates.growth, rates.opening_rate, measured_s=now_s
            )
        return UpstreamLoad(
            open_flows,
            rates.growth,
            rates.opening_rate,
            round(dispatcher.health.mean_service_time_s or 0.0, 4),
            _allowed_share(dispatcher),
            round(dispatcher.pressure(), 2),
            now_s,
        )

    def _is_changed(self, upstream_id: UpstreamId, load: UpstreamLoad) -> bool:
        """Whether the load differs from the one that was sent last."""
        sent = self._last_sent.get(upstream_id)
        return sent is None or _summary_entry(upstream_id, sent) != _summary_entry(
            upstream_id, load
        )

    def _interested_owners(
        self, configuration: Configuration, service_id: ServiceId
    ) -> set[HostId]:
        """The other owners of upstreams of the service or of its dependents."""
        services = [configuration.services[service_id]]
        services += transitive_dependents(configuration, service_id)
        shards = {
            configuration.shard_of(upstream)
            for service in services
            for upstream in service.upstreams.values()
        }
        owners = {self._ownership.owner(shard) for shard in shards}
        return owners - {None, self._environment.settings.host_id}

    def _handle_summary(self, sender: HostId, summary: LoadSummary) -> None:
        known = self._source.configuration.upstreams
        for entry in summary.loads:
            if not _is_valid(entry):
                self._environment.metrics.count("loads.bad_entries")
                continue
            upstream_id = UpstreamId(entry[0])
            if upstream_id in known:
                self._remote[upstream_id] = UpstreamLoad(*entry[1:], self._now_s())
                self._placed_since_summary[upstream_id] = 0

    def _now_s(self) -> float:
        return self._environment.clock.now_s()


def transitive_dependents(
    configuration: Configuration, service_id: ServiceId
) -> list[Service]:
    """The services that depend on a service, directly or through others."""
    found: dict[ServiceId, Service] = {}
    to_visit = [service_id]
    while to_visit:
        current = to_visit.pop()
        for service in configuration.direct_dependents.get(current, ()):
            if service.service_id not in found:
                found[service.service_id] = service
                to_visit.append(service.service_id)
    return list(found.values())


def transitive_dependencies(
    configuration: Configuration, service_id: ServiceId
) -> Iterable[ServiceId]:
    """The services on which a service depends, directly or through others."""
    found: dict[ServiceId, None] = {}
    to_visit = [service_id]
    while to_visit:
        service = configuration.services.get(to_visit.pop())
        for other in service.depends_on if service else ():
            if other not in found:
                found[other] = None
                to_visit.append(other)
    return found


def _allowed_share(dispatcher: UpstreamDispatcher) -> float:
    """The part of its full number of flows that the upstream may get now."""
    if not dispatcher.health.is_available_for_new_flows:
        return 0.0
    return round(dispatcher.health.slow_start_share(), 2)


def _summary_entry(upstream_id: UpstreamId, load: UpstreamLoad) -> tuple:
    """The upstream's entry in a ``LoadSummary``."""
    return (
        upstream_id,
        int(load.open_flows),
        load.growth,
        load.opening_rate,
        load.service_time_s,
        load.share,
        load.pressure,
    )


def _is_valid(entry) -> bool:
    return (
        isinstance(entry, tuple)
        and len(entry) == LOAD_FIELDS
        and isinstance(entry[0], str)
        and all(isinstance(item, (int, float)) for item in entry[1:])
    )
