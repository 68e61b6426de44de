"""The table of known hosts, with their SWIM states and pending suspicions."""

from collections.abc import Iterator

from wisteriatiller.foundation import Environment, log_event
from wisteriatiller.ids import Address, HostId, ZoneId

from .membership import HostState

SUSPICION_S = 2.0
# A suspicion received from another host is left to that host for this long. Only then
# does this host probe the suspect itself, so a refutation that arrives late does not
# lead to a false death.
REMOTE_SUSPICION_S = SUSPICION_S + 1.0
TOMBSTONE_LIFETIME_S = 600.0
# The entry of a dead host is a tombstone. After half its lifetime it is excluded from
# comparisons and only rejects older updates. Otherwise hosts whose tombstones expire at
# slightly different times would send them back to each other.
TOMBSTONE_COMPARED_S = TOMBSTONE_LIFETIME_S / 2

HOST_PREFIX = "host/"

# The version of a host entry is its incarnation times four plus one of these ranks, so
# that SUSPECT and DEAD override ALIVE only within the same incarnation.
ALIVE, SUSPECT, DEAD = 0, 1, 2
_RANKS = 4


def host_version(incarnation: int, rank: int) -> int:
    """Combine incarnation and rank into the version of a host entry."""
    return incarnation * _RANKS + rank


def host_id_of(key: str) -> HostId:
    """Extract the host id from a gossip key that starts with ``HOST_PREFIX``."""
    return HostId(key[len(HOST_PREFIX) :])


class KnownHost:
    """A host decoded from its gossip entry.

    Raises ``ValueError`` or ``TypeError`` for a malformed entry.
    """

    __slots__ = (
        "address",
        "dead_since_s",
        "host_id",
        "incarnation",
        "leaving",
        "rank",
        "zone",
    )

    def __init__(self, host_id: HostId, version: int, value: object):
        zone, ip, port, leaving = value
        if not (
            isinstance(zone, str)
            and isinstance(ip, str)
            and type(port) is int
            and 0 < port < 65536
            and type(leaving) is bool
            and version % _RANKS <= DEAD
        ):
            raise ValueError(f"malformed entry of host {host_id!r}")
        self.host_id = host_id
        self.zone = ZoneId(zone)
        self.address = Address(ip, port)
        self.leaving = leaving
        self.incarnation, self.rank = divmod(version, _RANKS)
        self.dead_since_s = 0.0

    @property
    def state(self) -> HostState:
        if self.rank == DEAD:
            return HostState.DEAD
        if self.leaving:
            return HostState.LEAVING
        return HostState.SUSPECT if self.rank == SUSPECT else HostState.ALIVE


class Suspicion:
    """A pending suspicion of a host, and when this host acts on it.

    At the deadline, a local suspicion becomes a death; a remote one becomes local.
    """

    __slots__ = ("deadline_s", "is_local", "version")

    def __init__(self, version: int, deadline_s: float, is_local: bool):
        self.version = version
        self.deadline_s = deadline_s
        # Whether this host itself probes the suspect and decides on its death.
        self.is_local = is_local


class HostTable:
    """Indexes known hosts by id and zone, and holds the suspicions of this zone."""

    def __init__(self, environment: Environment):
        self.suspicions: dict[HostId, Suspicion] = {}
        self.dead_host_ids: dict[HostId, None] = {}
        self._host_id = environment.settings.host_id
        self._zone = environment.settings.zone
        self._clock = environment.clock
        self._metrics = environment.metrics
        self._hosts: dict[HostId, KnownHost] = {}
        self._by_zone: dict[ZoneId, dict[HostId, KnownHost]] = {}
        self._live_cache: dict[ZoneId, tuple[HostId, ...]] = {}
        self._not_dead_cache: dict[ZoneId, tuple[KnownHost, ...]] = {}

    def __contains__(self, host_id: HostId) -> bool:
        return host_id in self._hosts

    def __getitem__(self, host_id: HostId) -> KnownHost:
        return self._hosts[host_id]

    def __iter__(self) -> Iterator[KnownHost]:
        return iter(self._hosts.values())

    def get(self, host_id: HostId) -> KnownHost | None:
        return self._hosts.get(host_id)

    def live_host_ids(self, zone: ZoneId) -> tuple[HostId, ...]:
        """Return the ids of the zone's hosts that are neither dead nor leaving."""
        live = self._live_cache.get(zone)
        if live is None:
            live = self._live_cache[zone] = tuple(
                host.host_id for host in self.hosts_not_dead(zone) if not host.leaving
            )
        return live

    def hosts_not_dead(self, zone: ZoneId) -> tuple[KnownHost, ...]:
        """Return the hosts of the zone that are not dead, sorted by id."""
        hosts = self._not_dead_cache.get(zone)
        if hosts is None:
            known = self._by_zone.get(zone, {}).values()
            not_dead = [host for host in known if host.rank != DEAD]
            not_dead.sort(key=lambda host: host.host_id)
            hosts = self._not_dead_cache[zone] = tuple(not_dead)
        return hosts

    def zone_peers(self) -> list[KnownHost]:
        """Return the other hosts of this host's zone that are not dead."""
        return [
            host
            for host in self.hosts_not_dead(self._zone)
            if host.host_id != self._host_id
        ]

    def put(self, host: KnownHost, version: int, age_s: float) -> None:
        """Add or replace a host. ``age_s`` is the time since it died, if it is dead."""
        previous = self._hosts.get(host.host_id)
        if host.rank == DEAD:
            host.dead_since_s = self._clock.now_s() - age_s
            self.dead_host_ids[host.host_id] = None
        else:
            self.dead_host_ids.pop(host.host_id, None)
        if previous is not None:
            self._remove_from_zone(previous)
        self._hosts[host.host_id] = host
        self._by_zone.setdefault(host.zone, {})[host.host_id] = host
        self._invalidate_caches(host.zone)
        self._update_suspicion(host, version)
        self._log_state_change(host, previous)

    def remove(self, host: KnownHost) -> None:
        """Remove a dead host whose tombstone has expired."""
        self._remove_from_zone(host)
        del self._hosts[host.host_id]
        del self.dead_host_ids[host.host_id]

    def restart_suspicions(self) -> None:
        """Make every suspicion remote and give it a full deadline from now."""
        deadline_s = self._clock.now_s() + REMOTE_SUSPICION_S
        for suspicion in self.suspicions.values():
            suspicion.is_local = False
            suspicion.deadline_s = deadline_s

    def _remove_from_zone(self, host: KnownHost) -> None:
        del self._by_zone[host.zone][host.host_id]
        self._invalidate_caches(host.zone)

    def _invalidate_caches(self, zone: ZoneId) -> None:
        self._live_cache.pop(zone, None)
        self._not_dead_cache.pop(zone, None)

    def _update_suspicion(self, host: KnownHost, version: int) -> None:
        if host.rank != SUSPECT or host.zone != self._zone:
            self.suspicions.pop(host.host_id, None)
            return
        suspicion = self.suspicions.get(host.host_id)
        if suspicion is None or suspicion.version != version:
            self.suspicions[host.host_id] = Suspicion(
                version, self._clock.now_s() + REMOTE_SUSPICION_S, is_local=False
            )

    def _log_state_change(self, host: KnownHost, previous: KnownHost | None) -> None:
        if previous is None or previous.state != host.state:
            self._metrics.count(f"membership.became_{host.state.value}")
            log_event(
                "host_state",
                host=host.host_id,
                zone=host.zone,
                state=host.state.value,
                incarnation=host.incarnation,
            )
