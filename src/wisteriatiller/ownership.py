"""Which host owns which ownership shard."""

from .environment import Environment
from .ids import HostId, ShardId
from .membership import Membership
from .placement import rank_hosts


def shard_key(shard: ShardId) -> str:
    """The gossip key under which the owner of a shard is published."""
    return f"shard/{shard}"


class Ownership:
    """Resolves shards to hosts from gossip, or by rank where none is known."""

    def __init__(self, environment: Environment, membership: Membership):
        self._host_id = environment.settings.host_id
        self._membership = membership

    def ranking(self, shard: ShardId) -> list[HostId]:
        """Live hosts of the shard's zone; the first should own it."""
        live = self._membership.live_hosts(shard.zone)
        return rank_hosts(str(shard), live)

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
