"""Joining the cluster through the seeds of the settings."""

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import Address

from .antientropy import AntiEntropy
from .gossipentries import GossipEntries
from .gossipmessages import Ack, Join
from .gossiptransport import GossipTransport, PendingNonces
from .hosttable import DEAD, HOST_PREFIX, HostTable

JOIN_RETRY_INTERVAL_S = 0.5
SEED_CHECK_INTERVAL_S = 5.0
MAX_SEEDS_PER_ATTEMPT = 3


class SeedJoiner:
    """Sends ``Join`` messages to seeds, and answers those of other hosts."""

    def __init__(
        self,
        environment: Environment,
        transport: GossipTransport,
        hosts: HostTable,
        entries: GossipEntries,
        anti_entropy: AntiEntropy,
    ):
        self._settings = environment.settings
        self._host_id = environment.settings.host_id
        self._clock = environment.clock
        self._random = environment.random
        self._transport = transport
        self._hosts = hosts
        self._entries = entries
        self._anti_entropy = anti_entropy
        self._pending_joins = PendingNonces(environment)
        self._last_contact_s = 0.0

    def start(self) -> None:
        """Contact the seeds; a host without other seeds counts as joined at once."""
        self._last_contact_s = self._clock.now_s()
        self.join_seeds()
        if not self._other_seed_addresses():
            self._anti_entropy.joined.set()

    def join_seeds(self) -> None:
        self._send_joins(self._other_seed_addresses())

    def contact_if_due(self) -> None:
        """Contact seeds until joined, and then addresses that no live host has.

        After the join, each call contacts a seed whose address belongs to no live host
        and a host that is held dead. This merges groups that hold each other dead, also
        if their tombstones have expired or if all seeds are gone.
        """
        now_s = self._clock.now_s()
        joined = self._anti_entropy.joined.is_set()
        interval_s = SEED_CHECK_INTERVAL_S if joined else JOIN_RETRY_INTERVAL_S
        if now_s - self._last_contact_s < interval_s:
            return
        self._last_contact_s = now_s
        seeds = self._other_seed_addresses()
        if joined:
            used = {host.address for host in self._hosts if host.rank != DEAD}
            seeds = [address for address in seeds if address not in used]
            seeds = self._random.sample(seeds, min(1, len(seeds)))
            dead = [
                host_id
                for host_id in self._hosts.dead_host_ids
                if host_id != self._host_id
            ]
            if dead:
                seeds.append(self._hosts[self._random.choice(dead)].address)
        self._send_joins(seeds)

    def expire_nonces(self) -> None:
        self._pending_joins.expire()

    def on_join(self, join: Join, source: Address) -> None:
        """Reply with this host's entry and the known entry of the sender."""
        # The known entry of the sender may be that of an earlier process with its id,
        # which the sender has to override.
        entries = self._entries.own_entries()
        known = self._entries.get(HOST_PREFIX + join.sender)
        if known is not None and join.sender != self._host_id:
            entries.append(known)
        updates = self._entries.encode_updates(entries)
        self._transport.send(source, Ack(self._host_id, join.nonce, updates))

    def on_ack(self, ack: Ack) -> None:
        """Start an exchange with the host that answered a ``Join``."""
        if self._pending_joins.pop(ack.nonce) is not None:
            host = self._hosts.get(ack.sender)
            self._anti_entropy.start_exchange(host, joining=True)

    def _other_seed_addresses(self) -> list[Address]:
        return [
            seed.address
            for seed in self._settings.seeds
            if seed.address != self._transport.address
        ]

    def _send_joins(self, addresses: list[Address]) -> None:
        """Send this host's entry to some addresses, whose host ids may be unknown."""
        for address in self._random.sample(
            addresses, min(MAX_SEEDS_PER_ATTEMPT, len(addresses))
        ):
            nonce = self._pending_joins.add(address)
            updates = self._entries.encode_updates(self._entries.own_entries())
            self._transport.send(address, Join(self._host_id, nonce, updates))
