"""The evacuated availability zones, as the store and other hosts tell them.

No new flow may go to the upstreams of an evacuated zone. The store holds the whole set;
reads return it, and watches return its changes. Sets are ordered by their position in
the history of the store, whatever their source.
"""

from collections.abc import Iterable
from typing import NamedTuple

from wisteriatiller.ids import NO_POSITION, StorePosition, ZoneId

# How long an evacuation that a restored store lacks stays in force. Its operator may
# have to notice the restore and write it again.
RETENTION_S = 30.0


class ZoneChange(NamedTuple):
    """An evacuation of a zone that the store has recorded or removed."""

    zone: ZoneId
    is_evacuated: bool


class EvacuationSet(NamedTuple):
    """All evacuated zones, as a read returns them.

    ``ignored_keys`` are the keys that name no zone.
    """

    zones: frozenset[ZoneId]
    ignored_keys: tuple[str, ...] = ()


class EvacuationChanges(NamedTuple):
    """The changes of a watch, in the order of their revisions."""

    changes: tuple[ZoneChange, ...] = ()
    ignored_keys: tuple[str, ...] = ()


EvacuationAnswer = EvacuationSet | EvacuationChanges


class EvacuationState(NamedTuple):
    """What hosts tell each other about evacuations.

    ``zones`` are those that the store holds at ``position``, and ``retained`` those
    that it has lost in a restore. ``removed`` are zones whose evacuation was removed
    since the restore, which therefore must not be retained. ``epoch_age_s`` is how long
    the epoch has been known, and ``age_s`` the time since the set was last known to be
    the newest.
    """

    position: StorePosition
    zones: frozenset[ZoneId]
    retained: frozenset[ZoneId]
    removed: frozenset[ZoneId]
    epoch_age_s: float
    age_s: float


class EvacuationView:
    """The newest set of evacuated zones that this host has learned.

    After a restore of the store, the zones that it lacks are retained for
    ``RETENTION_S``, unless the restored store records or removes their evacuation. All
    hosts count this time from the moment when the first of them saw the new epoch.
    """

    def __init__(self):
        self.position = NO_POSITION
        self.is_known = False
        self.confirmed_at_s: float | None = None
        self._zones: frozenset[ZoneId] = frozenset()
        self._retained: frozenset[ZoneId] = frozenset()
        self._removed: frozenset[ZoneId] = frozenset()
        self._epoch_since_s = 0.0
        self._in_force_since_s: dict[ZoneId, float] = {}

    @property
    def in_force(self) -> frozenset[ZoneId]:
        """The zones that get no new flows."""
        return self._zones | self._retained

    @property
    def retained(self) -> frozenset[ZoneId]:
        return self._retained

    def in_force_since_s(self, zone: ZoneId) -> float:
        """When the evacuation of a zone came into force on this host."""
        return self._in_force_since_s[zone]

    def age_s(self, now_s: float) -> float | None:
        """Seconds since the set was last known to be the newest; None if never."""
        return None if self.confirmed_at_s is None else now_s - self.confirmed_at_s

    def apply_answer(
        self, answer: EvacuationAnswer, position: StorePosition, now_s: float
    ) -> bool:
        """Apply an answer of the store; return whether the zones in force changed.

        The first set counts as a change. An answer that is not newer changes nothing.
        """
        if self.is_known and position <= self.position:
            return False
        if isinstance(answer, EvacuationSet):
            return self._replace(position, answer.zones, frozenset(), now_s, now_s)
        return self.is_known and self._apply_changes(position, answer.changes, now_s)

    def apply_state(self, state: EvacuationState, now_s: float) -> bool:
        """Apply what a peer knows; return whether the zones in force changed."""
        epoch_since_s = now_s - state.epoch_age_s
        is_changed = False
        if not self.is_known or state.position > self.position:
            is_changed = self._replace(
                state.position, state.zones, state.removed, epoch_since_s, now_s
            )
        if state.position.epoch < self.position.epoch:
            return is_changed
        self._epoch_since_s = min(epoch_since_s, self._epoch_since_s)
        self._removed |= state.removed - self._zones
        self._retained |= state.retained
        return self._settle(now_s) or is_changed

    def confirm(self, position: StorePosition, confirmed_at_s: float) -> None:
        """Record that the store had nothing after ``position`` at a time.

        A view at a later position of the same epoch was the newest then, too.
        """
        is_covered = position.epoch == self.position.epoch and position <= self.position
        is_later = confirmed_at_s > (self.confirmed_at_s or float("-inf"))
        if is_covered and is_later:
            self.confirmed_at_s = confirmed_at_s

    def expire_retained(self, now_s: float) -> bool:
        """End what was retained long enough; return whether any zone was."""
        return self._settle(now_s)

    def state(self, now_s: float) -> EvacuationState | None:
        """What this host tells its peers; None if it knows nothing."""
        age_s = self.age_s(now_s)
        if not self.is_known or age_s is None:
            return None
        return EvacuationState(
            position=self.position,
            zones=self._zones,
            retained=self._retained,
            removed=self._removed,
            epoch_age_s=now_s - self._epoch_since_s,
            age_s=age_s,
        )

    def _replace(
        self,
        position: StorePosition,
        zones: frozenset[ZoneId],
        removed: frozenset[ZoneId],
        epoch_since_s: float,
        now_s: float,
    ) -> bool:
        is_first = not self.is_known
        if is_first or position.epoch > self.position.epoch:
            self._retained = self.in_force
            self._removed = removed
            self._epoch_since_s = epoch_since_s
        else:
            # Within an epoch, what is missing has been removed.
            self._removed |= self._zones | removed
        self.is_known = True
        self.position = position
        self._zones = zones
        return self._settle(now_s) or is_first

    def _apply_changes(
        self, position: StorePosition, changes: Iterable[ZoneChange], now_s: float
    ) -> bool:
        zones, removed = set(self._zones), set(self._removed)
        for zone, is_evacuated in changes:
            if is_evacuated:
                zones.add(zone)
            else:
                zones.discard(zone)
                removed.add(zone)
        self._removed = frozenset(removed)
        return self._replace(
            position, frozenset(zones), frozenset(), self._epoch_since_s, now_s
        )

    def _settle(self, now_s: float) -> bool:
        """Drop what needs no retention; return whether the zones in force changed."""
        self._removed -= self._zones
        self._retained -= self._zones | self._removed
        if now_s - self._epoch_since_s >= RETENTION_S:
            self._retained = self._removed = frozenset()
        in_force = self.in_force
        if in_force == self._in_force_since_s.keys():
            return False
        self._in_force_since_s = {
            zone: self._in_force_since_s.get(zone, now_s) for zone in in_force
        }
        return True
