"""Rounds of calls to the grantors of a zone, and what their answers add up to."""

import asyncio
from dataclasses import dataclass

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import HostId, ShardId

from .grantorviews import (
    DRIFT_MARGIN_S,
    LEASE_S,
    GrantorView,
    GrantorViewManager,
    read_view,
)
from .leasemessages import LeaseRelease, LeaseReleased, LeaseReply, LeaseRequest

# A candidate gives up on an attempt after this long; a renewal leaves time for a
# second and a third try within the lease.
ROUND_TIMEOUT_S = 0.6
RELEASE_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class PreviousHolder:
    """Who held a lease before, as a majority of grantors remembers it.

    The majority kept its records without a gap for ``remembered_s``, so no other
    host held the lease in that time. ``backup`` is the host that the holder last
    named as having all its records, empty if none. ``never_held`` says that the
    zone's grantors remember every lease since the first view, and this one was never
    held.
    """

    epoch: int
    holder: HostId
    backup: HostId
    remembered_s: float
    never_held: bool


class LeaseRound:
    """The answers to one batch of lease requests."""

    def __init__(self, view: GrantorView, sent_s: float):
        self.view = view
        self.sent_s = sent_s
        self.replies: dict[HostId, LeaseReply] = {}
        self._answers: dict[int, dict[HostId, tuple]] = {}

    def add(self, host_id: HostId, reply: LeaseReply) -> None:
        self.replies[host_id] = reply
        for index, *answer in reply.answers:
            self._answers.setdefault(index, {})[host_id] = tuple(answer)

    def granters(self, index: int) -> list[HostId]:
        answers = self._answers.get(index, {})
        return [host_id for host_id, answer in answers.items() if answer[0]]

    def is_granted(self, index: int) -> bool:
        return self.view.has_majority(self.granters(index))

    def is_decided(self, index: int) -> bool:
        """Whether further answers cannot change ``is_granted``."""
        if self.is_granted(index):
            return True
        silent = [host for host in self.view.everyone if host not in self.replies]
        return not self.view.has_majority(self.granters(index) + silent)

    def highest_epoch(self, index: int) -> int:
        answers = self._answers.get(index, {}).values()
        return max((answer[1] for answer in answers), default=0)

    def former(self, index: int) -> PreviousHolder:
        answers = self._answers[index]
        epoch, holder, generation, backup = max(
            (answer[2:6] for answer in answers.values()), key=lambda held: held[::2]
        )
        # During a transition, only the former members know the leases before it.
        witnesses = set(self.view.former or self.view.members)
        replies = [
            self.replies[host_id]
            for host_id in self.granters(index)
            if host_id in witnesses
        ]
        return PreviousHolder(
            epoch,
            HostId(holder),
            HostId(backup),
            min((reply.remembers_ms for reply in replies), default=0) / 1000,
            epoch == 0 and all(reply.founder for reply in replies),
        )

    def expires_s(self) -> float:
        """When a lease that this round grants ends, on this host's clock."""
        return self.sent_s + LEASE_S - DRIFT_MARGIN_S


class GrantorRounds:
    """Asks all grantors of the zone at once, and waits for as many as it takes."""

    def __init__(self, environment: Environment, views: GrantorViewManager):
        self._environment = environment
        self._views = views
        self._zone = environment.settings.zone

    async def ask(self, requests: list[tuple]) -> LeaseRound | None:
        """Send one message to each grantor; return once nothing more can change."""
        view = self._views.view
        if view is None:
            return None
        outcome = LeaseRound(view, self._environment.clock.now_s())
        message = LeaseRequest(
            self._zone,
            view.revision,
            view.fingerprint,
            tuple((shard.index, *rest) for shard, *rest in requests),
        )
        peers = self._environment.peers
        pending = {
            asyncio.ensure_future(peers.call(host_id, message, ROUND_TIMEOUT_S)): (
                host_id
            )
            for host_id in view.everyone
        }
        indexes = [shard.index for shard, *_ in requests]
        try:
            while pending and not self._is_over(outcome, indexes):
                done, _ = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    self._take_reply(outcome, pending.pop(task), task.result())
        finally:
            for task in pending:
                task.cancel()
        return outcome

    def _is_over(self, outcome: LeaseRound, indexes: list[int]) -> bool:
        if not indexes:
            return outcome.view.has_majority(outcome.replies)
        return all(map(outcome.is_decided, indexes))

    def _take_reply(self, outcome: LeaseRound, host_id: HostId, reply) -> None:
        if not isinstance(reply, LeaseReply):
            return
        outcome.add(host_id, reply)
        if reply.view:
            self._views.adopt(read_view(reply.view))

    async def release(self, releases: list[tuple[ShardId, int]]) -> None:
        """Return once a majority has let the leases go, or nobody else answers."""
        view = self._views.view
        if view is None:
            return
        message = LeaseRelease(
            self._zone, tuple((shard.index, epoch) for shard, epoch in releases)
        )
        peers = self._environment.peers
        pending = {
            asyncio.ensure_future(peers.call(host_id, message, RELEASE_TIMEOUT_S)): (
                host_id
            )
            for host_id in view.everyone
        }
        released = []
        while pending and not view.has_majority(released):
            done, _ = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                host_id = pending.pop(task)
                if isinstance(task.result(), LeaseReleased):
                    released.append(host_id)
