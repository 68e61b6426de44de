"""Eager push: sends new updates to a few hosts before the next probe."""

import asyncio
from collections.abc import Iterable

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import ZoneId

from .gossipentries import GossipEntries
from .gossipmessages import MAX_UPDATES_BYTES, Push
from .gossipstate import Entry, fitting_prefix
from .gossiptransport import GossipTransport
from .hosttable import HostTable, KnownHost
from .zonereachability import ZoneReachability

PUSH_DELAY_S = 0.02
PUSH_HOSTS = 2
OWN_ENTRY_PUSH_HOSTS = 5


class EagerPusher:
    """Pushes newly queued updates, and this host's own entry when it leaves."""

    def __init__(
        self,
        environment: Environment,
        transport: GossipTransport,
        hosts: HostTable,
        zones: ZoneReachability,
        entries: GossipEntries,
    ):
        self._host_id = environment.settings.host_id
        self._random = environment.random
        self._transport = transport
        self._hosts = hosts
        self._zones = zones
        self._entries = entries
        self._unpushed_keys: dict[str, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        entries.on_update_queued = self._schedule_push

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def push_own_entry(self) -> None:
        """Push this host's own entry to some hosts of every zone.

        Used when this host leaves or stops. It may be gone before a probe could carry
        the entry, and a host that is alone in its zone is probed by nobody.
        """
        if self._transport.is_open:
            zones = self._zones.known_zones()
            targets = self._pick_targets(OWN_ENTRY_PUSH_HOSTS, zones)
            # Two hosts per other zone, as one datagram may be lost.
            targets += self._pick_targets(0, zones)
            self._push_to(self._entries.own_entries(), targets)

    def _schedule_push(self, key: str) -> None:
        self._unpushed_keys[key] = None
        if self._timer is None and self._transport.is_open:
            self._timer = asyncio.get_running_loop().call_later(
                PUSH_DELAY_S, self._push_updates
            )

    def _push_updates(self) -> None:
        """Push the updates of the last ``PUSH_DELAY_S`` to a few hosts."""
        self._timer = None
        entries = [self._entries.state.entries[key] for key in self._unpushed_keys]
        self._unpushed_keys.clear()
        if entries:
            zone = self._zones.random_reachable_zone()
            targets = self._pick_targets(PUSH_HOSTS, [zone] if zone else [])
            self._push_to(fitting_prefix(entries, MAX_UPDATES_BYTES), targets)

    def _pick_targets(self, count: int, zones: Iterable[ZoneId]) -> list[KnownHost]:
        """Pick ``count`` random hosts of this zone and one of each given other zone."""
        others = self._hosts.zone_peers()
        targets = self._random.sample(others, min(count, len(others)))
        targets += [
            self._random.choice(self._hosts.hosts_not_dead(zone)) for zone in zones
        ]
        return targets

    def _push_to(self, entries: list[Entry], targets: list[KnownHost]) -> None:
        value = Push(self._host_id, 0, self._entries.encode_updates(entries), ())
        for target in targets:
            self._transport.send(target.address, value)
