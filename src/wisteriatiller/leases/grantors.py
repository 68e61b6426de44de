"""The grantor of leases: a host's vote on the leases of its zone."""

from dataclasses import dataclass, field

from wisteriatiller.exceptions import check_invariant
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import HostId

from .grantorviews import DRIFT_MARGIN_S, LEASE_S, GrantorViewManager
from .leasemessages import LeaseRelease, LeaseReleased, LeaseReply, LeaseRequest

# After a release, the lease is reserved for the registered backup for this long. A
# former backup that considers the owner silent could otherwise win a planned hand-over
# against the successor, which has the records.
RESERVATION_S = 1.0


@dataclass(slots=True)
class GrantRecord:
    """A grantor's record of the lease of one ownership shard.

    ``highest_epoch`` is the highest epoch granted. ``held_epoch`` is the highest one
    granted by a majority, so that it was held, and ``held_by`` its holder; a failed
    candidate raises only ``highest_epoch``. ``backup`` has all records of that holder;
    of several registrations, the one with the highest ``generation`` is the latest.
    After a release, only the backup is granted the lease until ``reserved_until_s``.
    ``released_epochs`` has the highest epoch released by each host.
    """

    holder: HostId = HostId("")
    epoch: int = 0
    expires_s: float = 0.0
    highest_epoch: int = 0
    held_epoch: int = 0
    held_by: HostId = HostId("")
    generation: int = 0
    backup: HostId = HostId("")
    reserved_until_s: float = 0.0
    released_epochs: dict[HostId, int] = field(default_factory=dict)


class LeaseGrantor:
    """Answers the lease requests of the zone's hosts, including this host."""

    def __init__(self, environment: Environment, views: GrantorViewManager):
        self._environment = environment
        self._views = views
        self._zone = environment.settings.zone
        self._grants: dict[int, GrantRecord] = {}
        environment.peers.register(LeaseRequest, self._handle_request)
        environment.peers.register(LeaseRelease, self._handle_release)

    @property
    def is_abstaining(self) -> bool:
        """Whether this grantor must not grant leases yet.

        A grant made before a restart of this process may still be valid, or this
        process may not know the latest view of grantors.
        """
        uptime_s = self._now_s() - self._views.started_s
        return uptime_s < LEASE_S + DRIFT_MARGIN_S or not self._views.is_up_to_date

    def _handle_request(
        self, sender: HostId, request: LeaseRequest
    ) -> LeaseReply | None:
        if request.zone != self._zone:
            return None
        view = self._views.view
        is_current = view is not None and (view.revision, view.fingerprint) == (
            request.revision,
            request.fingerprint,
        )
        if view is None or view.revision < request.revision:
            self._views.fetch_from(sender)
        answers = tuple(
            self._answer_item(sender, is_current, *item) for item in request.requests
        )
        is_newer = view is not None and view.revision > request.revision
        return LeaseReply(
            int(self._views.unbroken_memory_s * 1000) if is_current else 0,
            is_current and self._views.is_founder,
            view.encoded if is_newer else b"",
            answers,
        )

    def _answer_item(
        self,
        holder: HostId,
        is_current: bool,
        index: int,
        epoch: int,
        held: bool,
        generation: int,
        backup: HostId,
    ) -> tuple:
        grant = self._grants.get(index)
        if grant is None:
            grant = self._grants[index] = GrantRecord()
        # A restarted candidate does not know which epochs it released before. It is
        # granted none up to the last of them, so it must learn that epoch here.
        state_before = (
            max(grant.highest_epoch, grant.released_epochs.get(holder, 0)),
            grant.held_epoch,
            grant.held_by,
            grant.generation,
            grant.backup,
        )
        granted = False
        if is_current and self.is_abstaining:
            # A restarted grantor relearns the held epochs from the renewals.
            if held and (
                epoch > grant.held_epoch
                or (epoch == grant.held_epoch and holder == grant.held_by)
            ):
                self._record_held(grant, holder, epoch, generation, backup)
        elif is_current and self._may_grant(grant, holder, epoch, held):
            granted = True
            self._record_grant(grant, holder, epoch)
            if held:
                self._record_held(grant, holder, epoch, generation, backup)
        return (index, granted, *state_before)

    def _may_grant(
        self, grant: GrantRecord, holder: HostId, epoch: int, held: bool
    ) -> bool:
        if grant.holder != holder and self._now_s() < grant.expires_s:
            return False
        if epoch <= grant.released_epochs.get(holder, 0):
            # A delayed renewal that arrives after the release.
            return False
        if not held:
            if self._now_s() < grant.reserved_until_s and holder != grant.backup:
                return False
            return epoch > grant.highest_epoch
        # A renewal by the last holder is granted even if a failed candidate raised the
        # highest epoch: no other host can have held the lease since.
        if epoch == grant.held_epoch:
            return grant.held_by == holder
        return epoch > grant.held_epoch

    def _record_grant(self, grant: GrantRecord, holder: HostId, epoch: int) -> None:
        now_s = self._now_s()
        check_invariant(
            grant.holder == holder or now_s >= grant.expires_s,
            "one_unexpired_grant",
            zone=self._zone,
            holder=grant.holder,
            candidate=holder,
        )
        grant.holder = holder
        grant.epoch = epoch
        grant.expires_s = now_s + LEASE_S
        grant.highest_epoch = max(grant.highest_epoch, epoch)

    def _record_held(
        self,
        grant: GrantRecord,
        holder: HostId,
        epoch: int,
        generation: int,
        backup: HostId,
    ) -> None:
        check_invariant(
            epoch > grant.held_epoch
            or (epoch == grant.held_epoch and grant.held_by == holder),
            "held_epoch_rises",
            zone=self._zone,
            epoch=epoch,
            held_epoch=grant.held_epoch,
        )
        if epoch > grant.held_epoch or generation > grant.generation:
            grant.generation = generation
            grant.backup = backup
        grant.held_epoch = epoch
        grant.held_by = holder
        grant.highest_epoch = max(grant.highest_epoch, epoch)

    def _handle_release(
        self, sender: HostId, release: LeaseRelease
    ) -> LeaseReleased | None:
        if release.zone != self._zone:
            return None
        for index, epoch in release.releases:
            grant = self._grants.get(index)
            if grant is None:
                grant = self._grants[index] = GrantRecord()
            grant.released_epochs[sender] = max(
                epoch, grant.released_epochs.get(sender, 0)
            )
            if grant.holder == sender and grant.epoch <= epoch:
                grant.expires_s = 0.0
                if (grant.held_epoch, grant.held_by) == (epoch, sender):
                    # Only a holder's release reserves the lease. If releases of failed
                    # candidates did, their attempts would keep all others out.
                    grant.reserved_until_s = self._now_s() + RESERVATION_S
        return LeaseReleased()

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
