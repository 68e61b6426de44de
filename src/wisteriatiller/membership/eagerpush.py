"""Pushes of updates to a few hosts, which do not wait for the next probe."""

import asyncio
from collections.abc import Iterable

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import ZoneId

from .gossipentries import GossipEntries
from .gossipmessages import UPDATES_BYTES, Push
from .gossipstate import Entry, first_fitting
from .gossiptransport import GossipTransport
from .hosttable import HostTable, KnownHost
from .zonereachability import ZoneReachability

PUSH_DELAY_S = 0.02
PUSH_HOSTS = 2
STOP_PUSH_HOSTS = 5


class EagerPusher:
    """Pushes what was just learned, and what this host says of itself."""

    def __init__(
        self,
        environment: Environment,
        link: GossipTransport,
        hosts: HostTable,
        zones: ZoneReachability,
        entries: GossipEntries,
    ):
        self._host_id = environment.settings.host_id
        self._random = environment.random
        self._link = link
        self._hosts = hosts
        self._zones = zones
        self._entries = entries
        self._fresh: dict[str, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        entries.on_news = self._add_fresh

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def push_own(self) -> None:
        """Tell some hosts of every zone what this host says of itself.

        It may be gone before it could repeat that, and nobody probes a host that is
        alone in its zone.
        """
        if self._link.is_open:
            zones = self._zones.known()
            targets = self._pick_others(STOP_PUSH_HOSTS, zones)
            # A second host of each other zone, since a datagram may be lost.
            targets += self._pick_others(0, zones)
            self._push_to(self._entries.own(), targets)

    def _add_fresh(self, key: str) -> None:
        self._fresh[key] = None
        if self._timer is None and self._link.is_open:
            self._timer = asyncio.get_running_loop().call_later(
                PUSH_DELAY_S, self._push_fresh
            )

    def _push_fresh(self) -> None:
        """Send what was just learned to a few hosts at once."""
        self._timer = None
        fresh = [self._entries.state.entries[key] for key in self._fresh]
        self._fresh.clear()
        if fresh:
            zone = self._zones.random_reachable()
            targets = self._pick_others(PUSH_HOSTS, [zone] if zone else [])
            self._push_to(first_fitting(fresh, UPDATES_BYTES), targets)

    def _pick_others(self, count: int, zones: Iterable[ZoneId]) -> list[KnownHost]:
        """Random hosts of this zone, and one of each of the other zones given."""
        others = self._hosts.zone_peers()
        targets = self._random.sample(others, min(count, len(others)))
        targets += [self._random.choice(self._hosts.present(zone)) for zone in zones]
        return targets

    def _push_to(self, entries: list[Entry], targets: list[KnownHost]) -> None:
        value = Push(self._host_id, 0, self._entries.encode(entries), ())
        for target in targets:
            self._link.send(target.address, value)
