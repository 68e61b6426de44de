"""The load of upstreams, as owners measure it and tell each other."""

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
# Unchanged loads are sent each third time, well within their lifetime.
ROUNDS_PER_FULL_SUMMARY = 3
# Bounds the control traffic of owners of large services: their summaries go round
# all peers within the lifetime for up to 320 peers.
MAX_SUMMARIES_PER_ROUND = 64
RATE_GAIN = 0.5
LOAD_FIELDS = 7


@message(70)
class LoadSummary(Message):
    """Loads of the sender's upstreams.

    Each is a tuple of upstream id, open flows, growth of the open flows per second,
    flows opened per second, mean service time in seconds (0 if not known), share and
    pressure.
    """

    loads: tuple


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The load of one upstream.

    ``share`` is the part of its full share of flows that an upstream may get: 0 if
    it takes no new flows, and below 1 while it is cold. ``pressure`` is 1 if it can
    take no more requests.
    """

    open_flows: float
    growth: float = 0.0
    opening_rate: float = 0.0
    service_time_s: float = 0.0
    share: float = 1.0
    pressure: float = 0.0
    at_s: float = 0.0


class _Rates:
    """Smoothed changes per second of one upstream's flows."""

    def __init__(self):
        self.growth = 0.0
        self.opening_rate = 0.0
        self._former: tuple[int, int] | None = None

    def measure(self, open_flows: int, opened_count: int) -> None:
        """Take the counts; called once each ``SUMMARY_INTERVAL_S``."""
        if self._former is not None:
            change = (open_flows - self._former[0]) / SUMMARY_INTERVAL_S
            opening = (opened_count - self._former[1]) / SUMMARY_INTERVAL_S
            self.growth = round(self.growth + RATE_GAIN * (change - self.growth), 2)
            self.opening_rate = round(
                self.opening_rate + RATE_GAIN * (opening - self.opening_rate), 2
            )
        self._former = (open_flows, opened_count)


class LoadTable:
    """The loads of this host's upstreams, and those that other owners told it."""

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
        self._placed: dict[UpstreamId, int] = {}
        self._sent: dict[UpstreamId, UpstreamLoad] = {}
        self._rates: dict[UpstreamId, _Rates] = {}
        self._round = 0
        self._next_peer = 0
        environment.peers.register(LoadSummary, self._handle_summary)

    def load_of(self, upstream_id: UpstreamId) -> UpstreamLoad | None:
        """The load now, None if it is not known or too old.

        The open flows of another owner's upstream are extrapolated by its growth
        and by the flows that this host placed since the last summary.
        """
        own = self._own_load(upstream_id)
        if own is not None:
            return own
        load = self._remote.get(upstream_id)
        if load is None:
            return None
        age_s = self._now_s() - load.at_s
        if age_s > SUMMARY_LIFETIME_S:
            return None
        placed = self._placed.get(upstream_id, 0)
        grown = max(0.0, load.open_flows + load.growth * age_s + placed)
        return UpstreamLoad(
            grown,
            load.growth,
            load.opening_rate,
            load.service_time_s,
            load.share,
            load.pressure,
            load.at_s,
        )

    def note_placed(self, upstream_id: UpstreamId) -> None:
        """Note a flow that this host places on another owner's upstream."""
        if upstream_id in self._remote:
            self._placed[upstream_id] = self._placed.get(upstream_id, 0) + 1

    async def send_periodically(self) -> None:
        """Send summaries to the other owners until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_S)
            self.send_summaries()

    def send_summaries(self) -> None:
        """Tell the owners of the same and of dependent services the loads here."""
        self._round += 1
        loads = self._measure_own()
        configuration = self._source.configuration
        self._forget_removed(configuration)
        full = self._round % ROUNDS_PER_FULL_SUMMARY == 0
        by_peer: dict[HostId, list] = {}
        for service_id, own in loads.items():
            peers = self._peers_of(configuration, service_id)
            for peer in peers:
                by_peer.setdefault(peer, []).extend(own.items())
        peers = self._turn_of(sorted(by_peer))
        everyone = len(peers) == len(by_peer)
        for peer in peers:
            entries = tuple(
                _entry(upstream_id, load)
                for upstream_id, load in by_peer[peer]
                if full or not everyone or self._is_changed(upstream_id, load)
            )
            if entries:
                self._environment.peers.send(peer, LoadSummary(entries))
        for own in loads.values():
            self._sent.update(own)

    def _forget_removed(self, configuration: Configuration) -> None:
        known = configuration.upstreams
        for values in (self._remote, self._placed, self._sent, self._rates):
            for upstream_id in values.keys() - known.keys():
                del values[upstream_id]

    def _turn_of(self, peers: list[HostId]) -> list[HostId]:
        if len(peers) <= MAX_SUMMARIES_PER_ROUND:
            return peers
        start = self._next_peer % len(peers)
        self._next_peer = start + MAX_SUMMARIES_PER_ROUND
        return (peers[start:] + peers[:start])[:MAX_SUMMARIES_PER_ROUND]

    def _measure_own(self) -> dict[ServiceId, dict[UpstreamId, UpstreamLoad]]:
        loads: dict[ServiceId, dict[UpstreamId, UpstreamLoad]] = {}
        for owned in self._shards:
            if owned.lease_remaining_s() <= 0:
                continue
            for upstream in self._shards.upstreams_of(owned):
                upstream_id = upstream.upstream_id
                self._rates.setdefault(upstream_id, _Rates()).measure(
                    owned.flows.open_count(upstream_id),
                    owned.flows.opened_count(upstream_id),
                )
                load = self._own_load(upstream_id)
                # A shard that is just being handed over has none.
                if load is not None:
                    loads.setdefault(upstream.service_id, {})[upstream_id] = load
        return loads

    def _own_load(self, upstream_id: UpstreamId) -> UpstreamLoad | None:
        owned = self._shards.get_by_upstream(upstream_id)
        if owned is None:
            return None
        open_flows = owned.flows.open_count(upstream_id)
        rates = self._rates.get(upstream_id) or _Rates()
        now_s = self._now_s()
        dispatcher = owned.dispatchers.get(upstream_id)
        if dispatcher is None:
            return UpstreamLoad(
                open_flows, rates.growth, rates.opening_rate, at_s=now_s
            )
        return UpstreamLoad(
            open_flows,
            rates.growth,
            rates.opening_rate,
            round(dispatcher.health.mean_service_time_s or 0.0, 4),
            _share(dispatcher),
            round(dispatcher.pressure(), 2),
            now_s,
        )

    def _is_changed(self, upstream_id: UpstreamId, load: UpstreamLoad) -> bool:
        sent = self._sent.get(upstream_id)
        return sent is None or _entry(upstream_id, sent) != _entry(upstream_id, load)

    def _peers_of(
        self, configuration: Configuration, service_id: ServiceId
    ) -> set[HostId]:
        """The other owners to which the loads of a service matter."""
        services = [configuration.services[service_id]]
        services += dependents(configuration, service_id)
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
                self._placed[upstream_id] = 0

    def _now_s(self) -> float:
        return self._environment.clock.now_s()


def dependents(configuration: Configuration, service_id: ServiceId) -> list[Service]:
    """The services that depend on a service, also through others."""
    found: dict[ServiceId, Service] = {}
    pending = [service_id]
    while pending:
        current = pending.pop()
        for service in configuration.direct_dependents.get(current, ()):
            if service.service_id not in found:
                found[service.service_id] = service
                pending.append(service.service_id)
    return list(found.values())


def dependencies(
    configuration: Configuration, service_id: ServiceId
) -> Iterable[ServiceId]:
    """The services on which a service depends, also through others."""
    found: dict[ServiceId, None] = {}
    pending = [service_id]
    while pending:
        service = configuration.services.get(pending.pop())
        for other in service.depends_on if service else ():
            if other not in found:
                found[other] = None
                pending.append(other)
    return found


def _share(dispatcher: UpstreamDispatcher) -> float:
    if not dispatcher.health.is_available_for_new_flows:
        return 0.0
    return round(dispatcher.health.slow_start_share(), 2)


def _entry(upstream_id: UpstreamId, load: UpstreamLoad) -> tuple:
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
