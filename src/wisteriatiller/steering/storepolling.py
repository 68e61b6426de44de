"""Polls and watches the store to keep the configuration and the directory current."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from wisteriatiller.ids import NO_EPOCH, NO_POSITION, Address, StoreEpoch
from wisteriatiller.network.loop import Scheduler, Timer

from .directory import UpstreamChange, UpstreamDirectory
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
from .upstreams import Listing

MAX_RETRY_S = 1.0
# Used while hosts that come earlier in reader order retry the store too. Without it all
# hosts together would overload the store when it comes back.
LONG_RETRY_S = 4.0
# A single failure may only mean that the store has closed an idle connection.
LOST_AFTER_FAILURES = 2
# A host that has just begun to read may still find a reader to follow, and then needs
# no watch.
FIRST_WATCH_DELAY_S = 0.8
MIN_WATCH_WAIT_S = 0.4
# Stale reads cost the store a tenth of a current read, but may be many seconds behind.
# The first listing of a host and every second one are current reads, so that a drain is
# seen within two intervals.
CURRENT_LISTING_EVERY = 2
# Jitter as a fraction of a delay: hosts that start together must not stay in step.
JITTER = 0.2


class StateObserver(ABC):
    """Is notified of applied state and of failed and answered store calls."""

    @abstractmethod
    def config_applied(
        self, view: ConfigView, source: str, unconfirmed_s: float | None
    ) -> None:
        """Record that a new version is in force.

        ``unconfirmed_s`` is the time since the previous version was last confirmed as
        the newest, an upper limit of the delay of this one; None if none was confirmed.
        """

    @abstractmethod
    def config_named(
        self, version: ConfigVersion, peer: Address, is_deferred: bool
    ) -> None:
        """Record that a peer announces a newer version without sending its content.

        ``is_deferred`` says whether reading it has to wait for a pending store call.
        """

    @abstractmethod
    def config_invalid(self, answer: ConfigInvalid) -> None: ...

    @abstractmethod
    def directory_applied(self, changes: list[UpstreamChange], source: str) -> None: ...

    @abstractmethod
    def store_failed(
        self, call: str, failure: StoreFailure, failures: int, waited_s: float
    ) -> None: ...

    @abstractmethod
    def store_answered(self, call: str, waited_s: float, epoch: StoreEpoch) -> None: ...

    @abstractmethod
    def listing_rejected(self, listing: Listing, source: str) -> None:
        """Record that a listing was read and not applied, since it is older."""


class _Backoff:
    """Exponential backoff with jitter, and the count of consecutive failures."""

    def __init__(self, initial_s: float):
        self._initial_s = initial_s
        self.failures = 0

    def has_failed_repeatedly(self) -> bool:
        return self.failures >= LOST_AFTER_FAILURES

    def reset(self) -> None:
        self.failures = 0

    def next_delay_s(self) -> float:
        """Count a failure and return the delay before the next call."""
        delay_s = min(MAX_RETRY_S, self._initial_s * 2**self.failures)
        self.failures += 1
        return _jittered(delay_s)


class _StorePoller(ABC):
    """Calls the store while it is active, with at most one call pending."""

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        store: StoreReader,
        observer: StateObserver,
    ):
        self._settings = settings
        self._scheduler = scheduler
        self._store = store
        self._observer = observer
        self._backoff = _Backoff(settings.store_retry_s)
        self._called_at_s = float("-inf")
        self._is_active = False
        self._is_call_pending = False

    def pause(self) -> None:
        """Make no further calls; a pending one may still be answered."""
        self._is_active = False
        self._backoff.reset()

    def has_lost_store(self) -> bool:
        """Whether so many calls in a row have failed that the store counts as lost."""
        return self._backoff.has_failed_repeatedly()

    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._backoff.failures > 0

    @abstractmethod
    def _call_store(self) -> None: ...

    def _report_failure(self, call: str, failure: StoreFailure) -> None:
        waited_s = self._scheduler.now_s() - self._called_at_s
        self._observer.store_failed(call, failure, self._backoff.failures, waited_s)


class ConfigWatcher(_StorePoller):
    """Reads the configuration once, then watches it with long polls."""

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        store: StoreReader,
        view: ConfigView,
        observer: StateObserver,
    ):
        super().__init__(settings, scheduler, store, observer)
        self._view = view
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
        age_s = self._view.age_s(self._called_at_s) or 0.0
        self._watch_wait_s = max(self._settings.watch_wait_s - age_s, MIN_WATCH_WAIT_S)
        self._watched_epoch = self._position.epoch
        self._store.watch_config(
            self._position.revision,
            self._watch_wait_s,
            lambda answer: self._handle_answer("watch_config", answer),
        )

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
        if delay_s:
            self._scheduler.call_later(delay_s, self._call_store)
        else:
            self._call_store()

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
        if isinstance(answer, ConfigInvalid):
            self._observer.config_invalid(answer)
        elif isinstance(answer, ConfigRead) and self._view.apply(answer.config):
            self._observer.config_applied(self._view, "store", unconfirmed_s)


class DirectoryPoller(_StorePoller):
    """Polls the listing of upstreams at an interval, or earlier on request."""

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        store: StoreReader,
        directory: UpstreamDirectory,
        observer: StateObserver,
    ):
        super().__init__(settings, scheduler, store, observer)
        self._directory = directory
        self._timer: Timer | None = None
        self._uses_long_backoff = False
        self.on_listing_read: Callable[[], None] = lambda: None
        self._listing_count = 0

    def resume(self, uses_long_backoff: bool = False) -> None:
        """Read now, then at the interval until ``pause`` is called.

        ``uses_long_backoff`` lengthens the delay after a failure to ``LONG_RETRY_S``. A
        call without it ends such a delay.
        """
        is_overdue = (
            self._uses_long_backoff and not uses_long_backoff and self.is_failing()
        )
        self._uses_long_backoff = uses_long_backoff
        if not self._is_active:
            self._is_active = True
            self._listing_count = 0
        elif not is_overdue:
            return
        if not self._is_call_pending:
            self._stop_timer()
            self._call_store()

    def pause(self) -> None:
        """Stop polling; only ``refresh_now`` still reads."""
        super().pause()
        self._stop_timer()

    def has_lost_store(self) -> bool:
        # The long backoff means that other hosts have lost the store already, so that a
        # single failure is enough.
        return super().has_lost_store() or (
            self._uses_long_backoff and self.is_failing()
        )

    def refresh_now(self) -> None:
        """Read now, unless a read is pending or has just been made."""
        since_call_s = self._scheduler.now_s() - self._called_at_s
        if not self._is_call_pending and since_call_s >= self._settings.store_retry_s:
            self._stop_timer()
            self._call_store()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _call_store(self) -> None:
        self._is_call_pending = True
        self._called_at_s = self._scheduler.now_s()
        is_current = self._listing_count % CURRENT_LISTING_EVERY == 0
        self._listing_count += 1
        self._store.list_upstreams(is_current, self._handle_answer)

    def _handle_answer(self, answer: Listing | StoreFailure) -> None:
        self._is_call_pending = False
        now_s = self._scheduler.now_s()
        if isinstance(answer, StoreFailure):
            self._directory.mark_store_lost()
            delay_s = self._backoff.next_delay_s()
            if self._uses_long_backoff:
                delay_s = _jittered(LONG_RETRY_S)
            self._report_failure("list_upstreams", answer)
        else:
            self._backoff.reset()
            # The listing may be as old as the call for it.
            age_s = now_s - self._called_at_s
            interval_s = _jittered(self._settings.listing_interval_s)
            delay_s = max(self._settings.store_retry_s, interval_s - age_s)
            self._observer.store_answered("list_upstreams", age_s, answer.epoch)
            changes = self._directory.apply(answer, now_s, age_s=age_s)
            if changes is None:
                self._observer.listing_rejected(answer, "store")
            elif changes:
                self._observer.directory_applied(changes, "store")
            self.on_listing_read()
        if self._is_active:
            self._timer = self._scheduler.call_later(delay_s, self._call_store)


def _jittered(delay_s: float) -> float:
    return delay_s * random.uniform(1.0 - JITTER, 1.0 + JITTER)
