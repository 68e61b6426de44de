"""Which host owns which ownership shard."""

from bisect import insort
from dataclasses import dataclass

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import HostId, ShardId
from wisteriatiller.membership import Membership
from wisteriatiller.placement import host_score, rank_hosts


def shard_key(shard: ShardId) -> str:
    """The gossip key under which the owner of a shard is published."""
    return f"shard/{shard}"


# Beyond this many new hosts, ordering all of them anew costs less.
MAX_INSERTED_HOSTS = 16


@dataclass(slots=True)
class _Ranking:
    """The order of the live hosts for one shard, as computed last."""

    live: tuple[HostId, ...]
    ranked: tuple[HostId, ...]


class Ownership:
    """Resolves shards to hosts from gossip, or by rank where none is known."""

    def __init__(self, environment: Environment, membership: Membership):
        self._host_id = environment.settings.host_id
        self._membership = membership
        # Each host asks for the ranking of every shard of its zone several times a
        # second, and ordering the hosts each time grows with their number squared.
        self._rankings: dict[ShardId, _Ranking] = {}

    def ranking(self, shard: ShardId) -> tuple[HostId, ...]:
        """Live hosts of the shard's zone; the first should own it."""
        live = tuple(self._membership.live_hosts(shard.zone))
        known = self._rankings.get(shard)
        if known is None or known.live != live:
            ranked = _rank(str(shard), live, known)
            known = self._rankings[shard] = _Ranking(live, ranked)
        return known.ranked

    def owner(self, shard: ShardId) -> HostId | None:
        known = self._membership.value(shard_key(shard))
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
        self._membership.publish(shard_key(shard), epoch, self._host_id)

    def is_first(self, shard: ShardId) -> bool:
        ranking = self.ranking(shard)
        return bool(ranking) and ranking[0] == self._host_id


def _rank(
    key: str, live: tuple[HostId, ...], former: _Ranking | None
) -> tuple[HostId, ...]:
    """Order the hosts for the key, best first, from a former order if there is one."""
    present = set(live)
    added = present.difference(former.live) if former else present
    if former is None or len(added) > MAX_INSERTED_HOSTS:
        return tuple(rank_hosts(key, live))
    ranked = [host_id for host_id in reversed(former.ranked) if host_id in present]
    for host_id in added:
        insort(ranked, host_id, key=lambda other: host_score(key, other))
    return tuple(reversed(ranked))
