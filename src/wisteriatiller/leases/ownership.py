"""Lookup of the owner, the backup and the ranked hosts of ownership shards."""

from bisect import insort
from dataclasses import dataclass

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import HostId, ShardId
from wisteriatiller.membership import Membership
from wisteriatiller.placement import host_score, rank_hosts


def shard_key(shard: ShardId) -> str:
    """The gossip key under which the owner of a shard is published."""
    return f"shard/{shard}"


# With more new hosts than this, sorting all hosts again is cheaper than inserting them.
MAX_INSERTED_HOSTS = 16


@dataclass(slots=True)
class _Ranking:
    """The last computed order of the live hosts for one shard."""

    live: tuple[HostId, ...]
    ranked: tuple[HostId, ...]


class Ownership:
    """Finds the owner of a shard from gossip, or by rank if none is published."""

    def __init__(self, environment: Environment, membership: Membership):
        self._host_id = environment.settings.host_id
        self._membership = membership
        # Cached because each host needs the ranking of every shard of its zone several
        # times a second. Sorting the hosts each time would cost a time that grows with
        # the square of their number.
        self._rankings: dict[ShardId, _Ranking] = {}

    def ranking(self, shard: ShardId) -> tuple[HostId, ...]:
        """The live hosts of the shard's zone, best first; the first should own it."""
        live = tuple(self._membership.live_hosts(shard.zone))
        known = self._rankings.get(shard)
        if known is None or known.live != live:
            ranked = _rank(str(shard), live, known)
            known = self._rankings[shard] = _Ranking(live, ranked)
        return known.ranked

    def owner(self, shard: ShardId) -> HostId | None:
        """The published owner if it is live, else the first host in rank."""
        known = self._membership.gossiped_value(shard_key(shard))
        if known is not None:
            host_id = HostId(str(known[1]))
            if self._membership.is_live(host_id):
                return host_id
        ranking = self.ranking(shard)
        return ranking[0] if ranking else None

    def backup(self, shard: ShardId) -> HostId | None:
        """The best-ranked live host other than this one."""
        for host_id in self.ranking(shard):
            if host_id != self._host_id:
                return host_id
        return None

    def publish_owner(self, shard: ShardId, epoch: int) -> None:
        """Publish this host as the owner of the shard by gossip."""
        self._membership.publish(shard_key(shard), epoch, self._host_id)

    def is_first(self, shard: ShardId) -> bool:
        """Whether this host is the first in rank for the shard."""
        ranking = self.ranking(shard)
        return bool(ranking) and ranking[0] == self._host_id


def _rank(
    key: str, live: tuple[HostId, ...], former: _Ranking | None
) -> tuple[HostId, ...]:
    """Rank the hosts for the key, best first, reusing a former ranking if given."""
    present = set(live)
    added = present.difference(former.live) if former else present
    if former is None or len(added) > MAX_INSERTED_HOSTS:
        return tuple(rank_hosts(key, live))
    ranked = [host_id for host_id in reversed(former.ranked) if host_id in present]
    for host_id in added:
        insort(ranked, host_id, key=lambda other: host_score(key, other))
    return tuple(reversed(ranked))
