"""Evacuations in random fault schedules, and the check of their bound."""

from typing import NamedTuple

from wisteriatiller.steering.evacuation import RETENTION_S

ZONES = "ab"
BOUND_S = 5.0
# Added to the bound while the store is impaired without being down, slow or losing
# answers.
MAX_STRETCH_S = 15.0
# How long after it was down, slow or losing answers no bound applies.
STORE_RECOVERY_S = 5.0
PAUSE_S = (0.1, 9.0)
# Changes sometimes follow each other within one watch.
QUICK_PAUSE_S = 0.1
QUICK_CHANCE = 0.3


class ZoneState(NamedTuple):
    """Whether a zone is evacuated, and when the store took the last change."""

    at_s: float
    zone: str
    is_evacuated: bool


class EvacuationSchedule:
    """Evacuates zones at random and takes them back, until the day ends.

    ``after_write`` is called after each change of the store.
    """

    def __init__(self, scheduler, store, rng, after_write):
        self._scheduler = scheduler
        self._store = store
        self._rng = rng
        self._after_write = after_write
        self._states = {}
        self._restored_at_s = float("-inf")
        self.change_count = 0

    def change_repeatedly(self):
        """Change a random zone now and schedule the next change."""
        zone = self._rng.choice(ZONES)
        state = self._states.get(zone)
        is_evacuated = state is None or not state.is_evacuated
        self._write(zone, is_evacuated)
        now_s = self._scheduler.now_s()
        self._states[zone] = ZoneState(now_s, zone, is_evacuated)
        self.change_count += 1
        is_quick = self._rng.random() < QUICK_CHANCE
        pause_s = QUICK_PAUSE_S if is_quick else self._rng.uniform(*PAUSE_S)
        self._scheduler.call_later(pause_s, self.change_repeatedly)

    def write_again(self):
        """Write what a restored store holds differently, as its operator does."""
        self._restored_at_s = self._scheduler.now_s()
        for zone, state in self._states.items():
            if state.is_evacuated != (zone in self._store.evacuated_zones()):
                self._write(zone, state.is_evacuated)

    def late_states(self, host, store_unavailable_until_s, is_store_settled):
        """The states that a host should have in force by now, and has not."""
        now_s = self._scheduler.now_s()
        if now_s < store_unavailable_until_s + STORE_RECOVERY_S:
            return []
        extra_s = 0.0 if is_store_settled else MAX_STRETCH_S
        latest_s = now_s - BOUND_S - extra_s
        due = [state for state in self._states.values() if state.at_s <= latest_s]
        return [state for state in due if not self._is_in_force(host, state)]

    def _is_in_force(self, host, state):
        entries = host.directory.eligible_entries("stock")
        opens_flows = state.zone in {entry.upstream.zone for entry in entries}
        if state.is_evacuated:
            return not opens_flows
        since_restore_s = self._scheduler.now_s() - self._restored_at_s
        may_be_retained = since_restore_s < RETENTION_S + BOUND_S
        return may_be_retained or state.zone not in host.directory.evacuated_zones

    def _write(self, zone, is_evacuated):
        self._store.set_evacuated(zone, is_evacuated)
        self._after_write()
