"""Joining the other hosts through the seeds of the settings."""

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import Address

from .antientropy import AntiEntropy
from .gossipentries import GossipEntries
from .gossipmessages import Ack, Join
from .gossiptransport import GossipTransport, PendingNonces
from .hosttable import DEAD, HOST_PREFIX, HostTable

JOIN_INTERVAL_S = 0.5
SEED_CHECK_INTERVAL_S = 5.0
SEEDS_AT_ONCE = 3


class SeedJoiner:
    """Introduces this host to seeds, and answers the introductions of others."""

    def __init__(
        self,
        environment: Environment,
        link: GossipTransport,
        hosts: HostTable,
        entries: GossipEntries,
        comparisons: AntiEntropy,
    ):
        self._settings = environment.settings
        self._host_id = environment.settings.host_id
        self._clock = environment.clock
        self._random = environment.random
        self._link = link
        self._hosts = hosts
        self._entries = entries
        self._comparisons = comparisons
        self._joins = PendingNonces(environment)
        self._checked_s = 0.0

    def start(self) -> None:
        """Introduce this host; without other seeds it has joined already."""
        self._checked_s = self._clock.now_s()
        self.introduce_to_seeds()
        if not self._other_seeds():
            self._comparisons.joined.set()

    def introduce_to_seeds(self) -> None:
        self._introduce(self._other_seeds())

    def check(self) -> None:
        """Contact seeds until joined, and later seeds that no live host uses.

        The latter, and one dead host each time, joins groups that hold each other
        dead, also where they forgot each other or where all seeds are gone.
        """
        now_s = self._clock.now_s()
        joined = self._comparisons.joined.is_set()
        interval_s = SEED_CHECK_INTERVAL_S if joined else JOIN_INTERVAL_S
        if now_s - self._checked_s < interval_s:
            return
        self._checked_s = now_s
        seeds = self._other_seeds()
        if joined:
            used = {host.address for host in self._hosts if host.rank != DEAD}
            seeds = [address for address in seeds if address not in used]
            seeds = self._random.sample(seeds, min(1, len(seeds)))
            dead = [host_id for host_id in self._hosts.dead if host_id != self._host_id]
            if dead:
                seeds.append(self._hosts[self._random.choice(dead)].address)
        self._introduce(seeds)

    def drop_old_nonces(self) -> None:
        self._joins.drop_old()

    def on_join(self, join: Join, source: Address) -> None:
        # What is known of the sender may stem from a former process with its id.
        entries = self._entries.own()
        known = self._entries.get(HOST_PREFIX + join.sender)
        if known is not None and join.sender != self._host_id:
            entries.append(known)
        updates = self._entries.encode(entries)
        self._link.send(source, Ack(self._host_id, join.nonce, updates))

    def on_ack(self, ack: Ack) -> None:
        if self._joins.pop(ack.nonce) is not None:
            host = self._hosts.get(ack.sender)
            self._comparisons.compare_with(host, joining=True)

    def _other_seeds(self) -> list[Address]:
        return [
            seed.address
            for seed in self._settings.seeds
            if seed.address != self._link.address
        ]

    def _introduce(self, addresses: list[Address]) -> None:
        """Send this host's entry to addresses whose hosts may be unknown."""
        for address in self._random.sample(
            addresses, min(SEEDS_AT_ONCE, len(addresses))
        ):
            nonce = self._joins.add(address)
            updates = self._entries.encode(self._entries.own())
            self._link.send(address, Join(self._host_id, nonce, updates))
