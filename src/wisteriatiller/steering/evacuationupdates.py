"""Brings what the store and peers tell about evacuated zones into force."""

from wisteriatiller.ids import Address, StorePosition
from wisteriatiller.network.loop import Scheduler

from .directory import UpstreamDirectory
from .evacuation import EvacuationAnswer, EvacuationState, EvacuationView
from .storepolling import StateObserver


class EvacuationUpdater:
    """Applies answers to the view and, if it changes, to the directory."""

    def __init__(
        self,
        scheduler: Scheduler,
        view: EvacuationView,
        directory: UpstreamDirectory,
        observer: StateObserver,
    ):
        self.view = view
        self._scheduler = scheduler
        self._directory = directory
        self._observer = observer

    def apply_answer(
        self,
        answer: EvacuationAnswer | None,
        position: StorePosition,
        confirmed_at_s: float,
    ) -> None:
        """Apply an answer of the store; None means that it tells no evacuations."""
        if answer is None:
            return
        if answer.ignored_keys:
            self._observer.evacuation_keys_ignored(answer.ignored_keys)
        now_s = self._scheduler.now_s()
        unconfirmed_s = self.view.age_s(now_s)
        is_changed = self.view.apply_answer(answer, position, now_s)
        self.view.confirm(position, confirmed_at_s)
        if is_changed:
            self._bring_into_force("store", unconfirmed_s)

    def apply_state(
        self, state: EvacuationState, peer: Address, requested_at_s: float
    ) -> None:
        """Apply what a peer answered to a request.

        The age was true when the peer answered, at the earliest at the request.
        """
        now_s = self._scheduler.now_s()
        unconfirmed_s = self.view.age_s(now_s)
        is_changed = self.view.apply_state(state, now_s)
        self.view.confirm(state.position, requested_at_s - state.age_s)
        if is_changed:
            self._bring_into_force(f"peer {peer}", unconfirmed_s)

    def expire_retained(self) -> None:
        """End the evacuations that a restored store has lacked for long enough."""
        now_s = self._scheduler.now_s()
        if self.view.expire_retained(now_s):
            self._bring_into_force("retention", self.view.age_s(now_s))

    def _bring_into_force(self, source: str, unconfirmed_s: float | None) -> None:
        now_s = self._scheduler.now_s()
        self._directory.set_evacuated_zones(self.view.in_force, now_s)
        self._observer.evacuations_applied(self.view, source, unconfirmed_s)
