"""Rounds of calls to all grantors of a zone, decided by majority."""

import asyncio
from dataclasses import dataclass

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import HostId, ShardId

from .grantorviews import (
    DRIFT_MARGIN_S,
    LEASE_S,
    GrantorView,
    GrantorViewManager,
    decode_view,
)
from .leasemessages import LeaseRelease, LeaseReleased, LeaseReply, LeaseRequest

# Timeout of one round. It is short enough for a renewal to be tried three times within
# the lease.
ROUND_TIMEOUT_S = 0.6
RELEASE_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class PreviousHolder:
    """The previous holder of a lease, as a majority of grantors remembers it.

    The majority has kept its records without a gap for ``remembered_s``, so no other
    host held the lease in that time. ``backup`` is the host that the holder last
    registered as having all its records, empty if none. ``never_held`` says that the
    grantors remember every lease since the first view and this one was never held.
    """

    epoch: int
    holder: HostId
    backup: HostId
    remembered_s: float
    never_held: bool


class LeaseRound:
    """The replies of the grantors of one view to a batch of lease requests."""

    def __init__(self, view: GrantorView, sent_s: float):
        self.view = view
        self.sent_s = sent_s
        self.replies: dict[HostId, LeaseReply] = {}
        self._answers: dict[int, dict[HostId, tuple]] = {}

    def add_reply(self, host_id: HostId, reply: LeaseReply) -> None:
        """Record the reply of one grantor."""
        self.replies[host_id] = reply
        for index, *answer in reply.answers:
            self._answers.setdefault(index, {})[host_id] = tuple(answer)

    def granters(self, index: int) -> list[HostId]:
        """The hosts that granted the lease of the shard."""
        answers = self._answers.get(index, {})
        return [host_id for host_id, answer in answers.items() if answer[0]]

    def is_granted(self, index: int) -> bool:
        """Whether a majority granted the lease."""
        return self.view.has_majority(self.granters(index))

    def is_decided(self, index: int) -> bool:
        """Whether further answers cannot change ``is_granted``."""
        if self.is_granted(index):
            return True
        silent = [host for host in self.view.all_members if host not in self.replies]
        return not self.view.has_majority(self.granters(index) + silent)

    def highest_epoch(self, index: int) -> int:
        """The highest used epoch that the replies name; 0 if there is none."""
        answers = self._answers.get(index, {}).values()
        return max((answer[1] for answer in answers), default=0)

    def previous_holder(self, index: int) -> PreviousHolder:
        """The holder with the highest held epoch that the replies name."""
        answers = self._answers[index]
        epoch, holder, generation, backup = max(
            (answer[2:6] for answer in answers.values()), key=lambda held: held[::2]
        )
        # During a transition, only the former members know the earlier leases.
        informed_members = set(self.view.former_members or self.view.members)
        replies = [
            self.replies[host_id]
            for host_id in self.granters(index)
            if host_id in informed_members
        ]
        return PreviousHolder(
            epoch,
            HostId(holder),
            HostId(backup),
            min((reply.remembers_ms for reply in replies), default=0) / 1000,
            epoch == 0 and all(reply.founder for reply in replies),
        )

    def expires_s(self) -> float:
        """The end of a lease that this round grants, on this host's clock."""
        return self.sent_s + LEASE_S - DRIFT_MARGIN_S


class GrantorRounds:
    """Calls all grantors of the zone in parallel until the outcome is decided."""

    def __init__(self, environment: Environment, views: GrantorViewManager):
        self._environment = environment
        self._views = views
        self._zone = environment.settings.zone

    async def request_leases(self, requests: list[tuple]) -> LeaseRound | None:
        """Send one ``LeaseRequest`` to each grantor; None without a view.

        Returns as soon as further replies cannot change the outcome.
        """
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
            for host_id in view.all_members
        }
        indexes = [shard.index for shard, *_ in requests]
        try:
            while pending and not self._is_decided(outcome, indexes):
                done, _ = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    self._handle_reply(outcome, pending.pop(task), task.result())
        finally:
            for task in pending:
                task.cancel()
        return outcome

    def _is_decided(self, outcome: LeaseRound, indexes: list[int]) -> bool:
        if not indexes:
            return outcome.view.has_majority(outcome.replies)
        return all(map(outcome.is_decided, indexes))

    def _handle_reply(self, outcome: LeaseRound, host_id: HostId, reply) -> None:
        if not isinstance(reply, LeaseReply):
            return
        outcome.add_reply(host_id, reply)
        if reply.view:
            self._views.adopt(decode_view(reply.view))

    async def release(self, releases: list[tuple[ShardId, int]]) -> None:
        """Release leases or grants at the grantors.

        Returns once a majority has acknowledged or no further answer can come.
        """
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
            for host_id in view.all_members
        }
        released = []
        while pending and not view.has_majority(released):
            done, _ = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                host_id = pending.pop(task)
                if isinstance(task.result(), LeaseReleased):
                    released.append(host_id)
