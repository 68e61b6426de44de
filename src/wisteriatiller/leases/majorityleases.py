"""Acquisition and renewal of the leases of ownership shards by majority."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wisteriatiller.exceptions import check_invariant
from wisteriatiller.foundation import Environment, log_event, spawn
from wisteriatiller.ids import HostId, ShardId
from wisteriatiller.membership import Membership

from .grantorviews import LEASE_S, GrantorViewManager
from .leaserounds import GrantorRounds, LeaseRound, PreviousHolder
from .ownership import Ownership, shard_key
from .shardleases import ShardLeases

RENEW_INTERVAL_S = 1.0
RENEW_RETRY_S = 0.2
CANDIDACY_INTERVAL_S = 0.2
# After a failed attempt, a candidate backs off for a random time that grows up to this
# maximum, so that two candidates do not split the grants again and again.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# The backup of a silent owner retries sooner: at first, no other host competes.
BACKUP_BACKOFF_S = 0.1
# A host whose leases the grantors do not renew may still answer probes. Therefore the
# best-ranked hosts also try to acquire shards whose owner looks alive: the first host
# at this interval, the second at twice the interval.
FALLBACK_INTERVAL_S = 5.0
MAX_FALLBACK_RANK = 2
# After the owner died, the backup tries first; the first host in rank waits this long.
VACANCY_GRACE_S = 3.0
# A restarted host leaves its former shards to their backups, which have the records.
# After this time, the grants of its former process have expired.
STARTUP_DELAY_S = 4.0
MAX_EPOCH_ATTEMPTS = 3


@dataclass(slots=True)
class _HeldLease:
    """A lease held by this host.

    ``generation`` counts the changes of ``backup``.
    """

    epoch: int
    expires_s: float
    previous: PreviousHolder
    generation: int = 0
    backup: HostId = HostId("")

    def as_request(self, shard: ShardId) -> tuple:
        """The renewal request of this lease, as an item of a ``LeaseRequest``."""
        return (shard, self.epoch, True, self.generation, self.backup)


@dataclass(slots=True)
class _Backoff:
    """The randomized exponential backoff of a candidate for one shard."""

    delay_s: float = MIN_BACKOFF_S
    retry_at_s: float = 0.0


class MajorityLeases(ShardLeases):
    """Leases granted by a majority of the zone's grantors.

    This host counts the expiry from the moment it sent the request, on its own clock;
    the grantors count from the receipt. Thus a stall of this host or of the network
    can only make the lease end earlier here than at the grantors.

    ``is_failover_due`` says whether this host is the backup of a silent owner of the
    shard. A host that ``is_leaving`` acquires no leases.
    """

    def __init__(
        self,
        environment: Environment,
        membership: Membership,
        ownership: Ownership,
        views: GrantorViewManager,
        shard_count: Callable[[], int],
    ):
        self.is_leaving = False
        self.is_failover_due: Callable[[ShardId], bool] = lambda shard: False
        self._environment = environment
        self._host_id = environment.settings.host_id
        self._zone = environment.settings.zone
        self._membership = membership
        self._ownership = ownership
        self._views = views
        self._rounds = GrantorRounds(environment, views)
        self._shard_count = shard_count
        self._held: dict[ShardId, _HeldLease] = {}
        self._highest_epochs: dict[ShardId, int] = {}
        self._backoffs: dict[ShardId, _Backoff] = {}
        self._fallback_at_s = environment.clock.now_s() + FALLBACK_INTERVAL_S
        self._fallback_count = 0
        self._acquiring: set[ShardId] = set()
        self._vacant_since_s: dict[ShardId, float] = {}

    @property
    def held(self) -> tuple[ShardId, ...]:
        """The shards whose leases this host holds now."""
        return tuple(shard for shard in self._held if self.remaining_s(shard) > 0)

    def remaining_s(self, shard):
        lease = self._held.get(shard)
        if lease is None:
            return 0.0
        return max(0.0, lease.expires_s - self._now_s())

    def epoch(self, shard):
        return self._held[shard].epoch if self.remaining_s(shard) > 0 else 0

    def previous_holder(self, shard: ShardId) -> PreviousHolder | None:
        """The holder before this host; None if this host does not hold the lease."""
        lease = self._held.get(shard)
        return lease.previous if lease else None

    @property
    def is_sole_grantor(self) -> bool:
        """Whether this host is the only grantor of its zone and thus has no backup."""
        view = self._views.view
        return view is not None and view.all_members == (self._host_id,)

    async def run(self) -> None:
        """Renew the held leases and acquire those that this host should hold."""
        await asyncio.gather(self._run_renewals(), self._run_candidacy())

    async def release(self, shard):
        epoch = self.release_locally(shard)
        if epoch:
            await self.release_at_grantors(shard, epoch)

    def release_locally(self, shard: ShardId) -> int:
        """Stop holding a lease on this host only; return its epoch, 0 if not held.

        This host does not try to acquire it again before the grants have expired.
        """
        lease = self._held.get(shard)
        if lease is None:
            return 0
        self._backoffs[shard] = _Backoff(retry_at_s=self._now_s() + LEASE_S)
        self._drop(shard)
        return lease.epoch

    async def release_at_grantors(self, shard: ShardId, epoch: int) -> None:
        """Tell the grantors that a lease was released."""
        await self._rounds.release([(shard, epoch)])

    async def register_backup(self, shard: ShardId, backup: HostId) -> bool:
        """Register the host that has all records of the shard at a majority.

        A successor that is not the backup registered last knows that its records are
        incomplete. Until this returns True, a grantor may know the previous backup or
        the new one, so records must be sent to both.
        """
        lease = self._held.get(shard)
        if lease is None or self.remaining_s(shard) <= 0:
            return False
        lease.generation += 1
        lease.backup = backup
        generation = lease.generation
        outcome = await self._rounds.request_leases([lease.as_request(shard)])
        if (
            outcome is None
            or self._held.get(shard) is not lease
            or lease.generation != generation
            or not outcome.is_granted(shard.index)
        ):
            return False
        self._extend(shard, lease, outcome)
        return self.remaining_s(shard) > 0

    def drop_all(self) -> None:
        """Stop holding all leases at once, without telling the grantors.

        Called after a stall of this process, when its records may be out of date.
        """
        for shard in tuple(self._held):
            self._drop(shard)

    async def try_acquire(self, shard: ShardId) -> bool:
        """Try to acquire a lease now; True if it is held afterwards."""
        if self.remaining_s(shard) <= 0:
            await self._acquire([shard])
        return self.remaining_s(shard) > 0

    async def reaches_majority(self) -> bool:
        """Whether a majority of the grantors answers this host at present."""
        outcome = await self._rounds.request_leases([])
        return outcome is not None and outcome.view.has_majority(outcome.replies)

    # Renewal

    async def _run_renewals(self) -> None:
        while True:
            started_s = self._now_s()
            delay_s = RENEW_INTERVAL_S
            self._drop_expired()
            if self._held and not await self._renew():
                delay_s = RENEW_RETRY_S
            passed_s = self._now_s() - started_s
            await asyncio.sleep(min(delay_s, max(0.01, delay_s - passed_s)))

    async def _renew(self) -> bool:
        """Renew all held leases in one round; False if one was not renewed."""
        leases = {
            s: lease for s, lease in self._held.items() if self.remaining_s(s) > 0
        }
        requests = [lease.as_request(shard) for shard, lease in leases.items()]
        outcome = await self._rounds.request_leases(requests)
        self._drop_expired()
        if outcome is None:
            return False
        is_complete = True
        for shard, lease in leases.items():
            if self._held.get(shard) is not lease:
                continue
            if outcome.is_granted(shard.index):
                self._extend(shard, lease, outcome)
            else:
                is_complete = False
        return is_complete

    def _extend(self, shard: ShardId, lease: _HeldLease, outcome: LeaseRound) -> None:
        lease.expires_s = max(lease.expires_s, outcome.expires_s())
        self._ownership.publish_owner(shard, lease.epoch)

    def _drop_expired(self) -> None:
        for shard in tuple(self._held):
            if self.remaining_s(shard) <= 0:
                self._environment.metrics.count("leases.expired")
                log_event("lease_expired", level="warning", shard=shard)
                self._drop(shard)

    def _drop(self, shard: ShardId) -> None:
        lease = self._held.pop(shard)
        self.on_lost(shard, lease.epoch)

    # Candidacy

    async def _run_candidacy(self) -> None:
        while True:
            jitter = self._environment.random.uniform(0.5, 1.5)
            await asyncio.sleep(CANDIDACY_INTERVAL_S * jitter)
            self._drop_expired()
            now_s = self._now_s()
            fallback = self._next_fallback(now_s)
            wanted = [
                shard
                for shard in self._unheld_shards()
                if self._should_acquire(shard, now_s, fallback)
            ]
            if wanted:
                await self._acquire(wanted)

    def _unheld_shards(self) -> list[ShardId]:
        """The shards of the zone whose leases this host does not hold."""
        shards = (ShardId(self._zone, i) for i in range(self._shard_count()))
        return [shard for shard in shards if shard not in self._held]

    def _should_acquire(self, shard: ShardId, now_s: float, fallback: int) -> bool:
        """Whether this host tries to acquire the lease of the shard now.

        It does as the backup of a silent owner, as the published owner, as the first
        host in rank without a live owner, or if a fallback attempt is due.
        """
        if self.is_leaving:
            return False
        backoff = self._backoffs.get(shard)
        if backoff is not None and now_s < backoff.retry_at_s:
            return False
        if self.is_failover_due(shard):
            return True
        if now_s < self._views.started_s + STARTUP_DELAY_S:
            return False
        owner = self._gossiped_owner(shard)
        ranking = self._ownership.ranking(shard)[:MAX_FALLBACK_RANK]
        rank = ranking.index(self._host_id) if self._host_id in ranking else None
        if owner == self._host_id or (rank == 0 and owner is None):
            return True
        if rank == 0 and not self._membership.is_live(owner):
            vacant_since_s = self._vacant_since_s.setdefault(shard, now_s)
            return now_s >= vacant_since_s + VACANCY_GRACE_S
        self._vacant_since_s.pop(shard, None)
        return rank is not None and fallback > 0 and fallback % (rank + 1) == 0

    def _next_fallback(self, now_s: float) -> int:
        """The number of the fallback attempt that is due now; 0 if none is due."""
        if now_s < self._fallback_at_s:
            return 0
        spread = self._environment.random.uniform(1, 1.5)
        self._fallback_at_s = now_s + FALLBACK_INTERVAL_S * spread
        self._fallback_count += 1
        return self._fallback_count

    def _gossiped_owner(self, shard: ShardId) -> HostId | None:
        """The owner last published by gossip, also if it is dead."""
        known = self._membership.gossiped_value(shard_key(shard))
        return HostId(str(known[1])) if known else None

    async def _acquire(self, shards: list[ShardId]) -> None:
        """Try to acquire the leases, each attempt in two rounds.

        The first round obtains grants for a new epoch. The second tells a majority
        that the first succeeded, so that later holders learn of every epoch that was
        held, even if this host dies right after.
        """
        started = [shard for shard in shards if shard not in self._acquiring]
        self._acquiring.update(started)
        try:
            stale = started
            for _ in range(MAX_EPOCH_ATTEMPTS):
                stale = await self._acquire_once(stale) if stale else []
            for shard in stale:
                self._back_off(shard)
        finally:
            self._acquiring.difference_update(started)

    async def _acquire_once(self, shards: list[ShardId]) -> list[ShardId]:
        """Make one attempt; return the shards to retry at once with a higher epoch."""
        epochs = {shard: self._next_epoch(shard) for shard in shards}
        first = await self._rounds.request_leases(
            [(s, epochs[s], False, 0, "") for s in shards]
        )
        if first is None:
            self._abandon(epochs, shards)
            return []
        won, stale = [], []
        for shard in shards:
            highest = first.highest_epoch(shard.index)
            self._highest_epochs[shard] = max(
                highest, self._highest_epochs.get(shard, 0)
            )
            if highest >= epochs[shard]:
                # Restarted grantors may grant an epoch that others know as used.
                stale.append(shard)
            elif first.is_granted(shard.index):
                won.append(shard)
        second = None
        if won:
            second = await self._rounds.request_leases(
                [(s, epochs[s], True, 0, "") for s in won]
            )
        now_s = self._now_s()
        kept = [
            shard
            for shard in won
            if second is not None
            and second.is_granted(shard.index)
            # If the first round's grants expired before the second was sent, another
            # host may have held the lease in between.
            and second.sent_s < first.expires_s()
            and now_s < second.expires_s()
        ]
        for shard in kept:
            self._start_holding(shard, epochs[shard], first, second)
        self._abandon(epochs, [s for s in shards if s not in kept and s not in stale])
        self._release_grants([(shard, epochs[shard]) for shard in stale])
        return stale

    def _next_epoch(self, shard: ShardId) -> int:
        """An epoch above every one that this host knows of."""
        known = self._membership.gossiped_value(shard_key(shard))
        return max(self._highest_epochs.get(shard, 0), known[0] if known else 0) + 1

    def _start_holding(
        self, shard: ShardId, epoch: int, first: LeaseRound, second: LeaseRound
    ) -> None:
        check_invariant(shard not in self._held, "lease_held_once", shard=shard)
        check_invariant(
            epoch > first.previous_holder(shard.index).epoch,
            "epoch_rises",
            shard=shard,
            epoch=epoch,
        )
        previous = first.previous_holder(shard.index)
        self._highest_epochs[shard] = max(epoch, self._highest_epochs.get(shard, 0))
        self._held[shard] = _HeldLease(epoch, second.expires_s(), previous)
        self._backoffs.pop(shard, None)
        self._vacant_since_s.pop(shard, None)
        self._environment.metrics.count("leases.acquired")
        log_event("lease_acquired", shard=shard, epoch=epoch)
        self._ownership.publish_owner(shard, epoch)
        self.on_acquired(shard, epoch)

    def _abandon(self, epochs: dict[ShardId, int], shards: list[ShardId]) -> None:
        """End a failed attempt: release its grants and back off."""
        self._release_grants([(shard, epochs[shard]) for shard in shards])
        for shard in shards:
            self._highest_epochs[shard] = max(
                epochs[shard], self._highest_epochs.get(shard, 0)
            )
            self._back_off(shard)

    def _back_off(self, shard: ShardId) -> None:
        backoff = self._backoffs.setdefault(shard, _Backoff())
        if self.is_failover_due(shard):
            backoff.delay_s = BACKUP_BACKOFF_S
        wait_s = self._environment.random.uniform(MIN_BACKOFF_S, backoff.delay_s * 2)
        backoff.retry_at_s = self._now_s() + wait_s
        backoff.delay_s = min(MAX_BACKOFF_S, backoff.delay_s * 2)

    def _release_grants(self, releases: list[tuple[ShardId, int]]) -> None:
        """Release the grants of a failed attempt, for other candidates."""
        if releases:
            spawn(self._rounds.release(releases), "release grants")

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
