"""Reads and watches the store to keep configuration and evacuations current."""

from wisteriatiller.ids import NO_EPOCH, NO_POSITION, Address
from wisteriatiller.network.loop import Scheduler

from .evacuationupdates import EvacuationUpdater
from .ports import (
    ConfigAnswer,
    ConfigInvalid,
    ConfigMissing,
    ConfigRead,
    ConfigUnchanged,
    HistoryExpired,
    StoreFailure,
    StoreReader,
)
from .routes import NO_VERSION, ConfigVersion, ConfigView
from .settings import SteeringSettings
from .storepolling import StateObserver, StorePoller

# A host that has just begun to read may still find a reader to follow, and then needs
# no watch.
FIRST_WATCH_DELAY_S = 0.8
MIN_WATCH_WAIT_S = 0.4


class ConfigWatcher(StorePoller):
    """Reads the configuration once, then watches it with long polls."""

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        store: StoreReader,
        view: ConfigView,
        observer: StateObserver,
        evacuations: EvacuationUpdater,
    ):
        super().__init__(settings, scheduler, store, observer)
        self._view = view
        self._evacuations = evacuations
        # Up to where in the history of the store the view is known to be current.
        self._position = NO_POSITION
        # The newest epoch of any answer, and that of the position of the last watch.
        self._epoch = NO_EPOCH
        self._watched_epoch = NO_EPOCH
        # The version that the last read on an announcement was made for, and the last
        # one that such a read has not found.
        self._wanted_version = NO_VERSION
        self._missing_version = NO_VERSION
        # The wait that the last watch asked for.
        self._watch_wait_s = 0.0

    def resume(self) -> None:
        """Read now, then watch until ``pause`` is called."""
        if not self._is_active:
            self._is_active = True
            self._position = NO_POSITION
            if not self._is_call_pending:
                self._call_store()

    def read_once(self, version: ConfigVersion, peer: Address) -> None:
        """Read a newer version that a peer announces, unless a call is pending."""
        self._observer.config_named(version, peer, is_deferred=self._is_call_pending)
        if not self._is_call_pending:
            self._is_call_pending = True
            self._wanted_version = version
            self._read()

    def is_named_version_missing(self) -> bool:
        """Whether the store was read for an announced version and had an older one."""
        return self._missing_version > self._view.version

    def _call_store(self) -> None:
        if not self._is_active or self._is_call_pending:
            return
        self._is_call_pending = True
        if self._position == NO_POSITION:
            self._read()
        else:
            self._watch()

    def _read(self) -> None:
        self._called_at_s = self._scheduler.now_s()
        self._store.read_config(
            lambda answer: self._handle_answer("read_config", answer)
        )

    def _watch(self) -> None:
        """Watch for the rest of the time that the view may go unconfirmed."""
        self._called_at_s = self._scheduler.now_s()
        age_s = self._unconfirmed_s()
        self._watch_wait_s = max(self._settings.watch_wait_s - age_s, MIN_WATCH_WAIT_S)
        self._watched_epoch = self._position.epoch
        self._store.watch_config(
            self._position.revision,
            self._watch_wait_s,
            lambda answer: self._handle_answer("watch_config", answer),
        )

    def _unconfirmed_s(self) -> float:
        """The time since configuration and evacuations were both confirmed."""
        views = (self._view, self._evacuations.view)
        ages_s = (view.age_s(self._called_at_s) for view in views)
        return max(age_s or 0.0 for age_s in ages_s)

    def _handle_answer(self, call: str, answer: ConfigAnswer) -> None:
        self._is_call_pending = False
        delay_s = 0.0
        waited_s = self._scheduler.now_s() - self._called_at_s
        if isinstance(answer, StoreFailure):
            delay_s = self._backoff.next_delay_s()
            self._report_failure(call, answer)
            # Whatever failed, a plain read returns the newest configuration.
            self._position = NO_POSITION
            if call == "watch_config" and waited_s > self._watch_wait_s:
                delay_s = 0.0
        else:
            self._backoff.reset()
            if call == "read_config":
                self._missing_version = self._wanted_version
            self._observer.store_answered(call, waited_s, answer.position.epoch)
            if self._is_current(call, answer):
                self._apply_answer(answer, self._confirmed_until_s(call, answer))
            else:
                self._position = NO_POSITION
            if isinstance(answer, ConfigMissing):
                delay_s = self._settings.store_retry_s
            elif call == "read_config":
                delay_s = FIRST_WATCH_DELAY_S
            elif self._is_empty(answer) and waited_s < self._watch_wait_s:
                delay_s = self._settings.store_retry_s
        if delay_s:
            self._scheduler.call_later(delay_s, self._call_store)
        else:
            self._call_store()

    def _is_empty(self, answer: ConfigAnswer) -> bool:
        """Whether only other keys have changed, which may go on at any rate."""
        is_unchanged = isinstance(answer, ConfigUnchanged)
        changes = answer.evacuations if is_unchanged else None
        return changes is not None and not changes.changes

    def _confirmed_until_s(self, call: str, answer: ConfigAnswer) -> float:
        """The time up to which the answer is known to hold the newest configuration.

        An answer is certain to be current only as of the call. A watch that ends
        without a change was answered after its wait, so it is current as of that end.
        """
        waited_s = self._scheduler.now_s() - self._called_at_s
        is_ended = (
            isinstance(answer, ConfigUnchanged) and waited_s >= self._watch_wait_s
        )
        if call == "watch_config" and is_ended:
            return self._called_at_s + self._watch_wait_s
        return self._called_at_s

    def _is_current(self, call: str, answer: ConfigAnswer) -> bool:
        """Whether the answer tells what the newest epoch of the store holds.

        A watch that is answered in another epoch than it began in may miss changes: the
        store has given revisions out again.
        """
        epoch = answer.position.epoch
        is_newest = epoch >= self._epoch
        self._epoch = max(epoch, self._epoch)
        is_continued = call == "read_config" or epoch == self._watched_epoch
        is_expired = isinstance(answer, HistoryExpired)
        return is_newest and is_continued and not is_expired

    def _apply_answer(self, answer: ConfigAnswer, confirmed_until_s: float) -> None:
        self._position = answer.position
        unconfirmed_s = self._view.age_s(self._scheduler.now_s())
        self._view.confirm(confirmed_until_s)
        self._evacuations.apply_answer(
            answer.evacuations, answer.position, confirmed_until_s
        )
        if isinstance(answer, ConfigInvalid):
            self._observer.config_invalid(answer)
        elif isinstance(answer, ConfigRead) and self._view.apply(answer.config):
            self._observer.config_applied(self._view, "store", unconfirmed_s)
