"""Keeps the configuration view and the directory up to date from the store."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from wisteriatiller.ids import NO_REVISION, Address, Revision
from wisteriatiller.network.loop import Scheduler, Timer

from .directory import Change, UpstreamDirectory
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
from .routes import ConfigVersion, ConfigView
from .settings import SteeringSettings
from .upstreams import Listing

MAX_RETRY_S = 1.0
# While hosts before this one try the store too, it tries less often: all hosts
# together would fill the store as it comes back.
PATIENT_RETRY_S = 4.0
# One failure may be a connection that the store has closed.
LOST_FAILURES = 2
# A host that has just begun to read may find another one that reads for it, and then
# needs no watch.
FIRST_WATCH_PAUSE_S = 0.8
MIN_WATCH_WAIT_S = 0.4
# Stale reads cost a tenth, but may be many seconds behind. The first listing of a host
# and every second one are current, so that a drain is seen within two intervals.
CURRENT_LISTING_EACH = 2
# Hosts that start together must not call together for the rest of the day.
JITTER = 0.2


class FollowerObserver(ABC):
    """Learns what the followers take over, and when the store is lost."""

    @abstractmethod
    def config_applied(
        self, view: ConfigView, source: str, unconfirmed_s: float | None
    ) -> None:
        """Take note of a new version; it may be in force this late, and not later.

        ``unconfirmed_s`` is the time since the version before it was known to be the
        newest one; None if there was none.
        """

    @abstractmethod
    def config_named(self, version: ConfigVersion, peer: Address, waits: bool) -> None:
        """Take note of a newer version that a peer names without giving it.

        ``waits`` says that the read of it has to wait for another call.
        """

    @abstractmethod
    def config_invalid(self, answer: ConfigInvalid) -> None: ...

    @abstractmethod
    def directory_applied(self, changes: list[Change], source: str) -> None: ...

    @abstractmethod
    def store_failed(
        self, call: str, failure: StoreFailure, failures: int, waited_s: float
    ) -> None: ...

    @abstractmethod
    def store_answered(self, call: str, waited_s: float) -> None: ...


class _Retry:
    """Pauses between failed calls, longer each time."""

    def __init__(self, first_s: float):
        self._first_s = first_s
        self.failures = 0

    def is_lost(self) -> bool:
        return self.failures >= LOST_FAILURES

    def succeeded(self) -> None:
        self.failures = 0

    def failed(self) -> float:
        """The pause before the next call."""
        pause_s = min(MAX_RETRY_S, self._first_s * 2**self.failures)
        self.failures += 1
        return _jittered(pause_s)


class _StoreFollower(ABC):
    """Asks the store one call at a time, while it is active."""

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        store: StoreReader,
        observer: FollowerObserver,
    ):
        self._settings = settings
        self._scheduler = scheduler
        self._store = store
        self._observer = observer
        self._retry = _Retry(settings.store_retry_s)
        self._asked_at_s = float("-inf")
        self._is_active = False
        self._is_asking = False

    def pause(self) -> None:
        """Ask no more; a call that is waiting may still be answered."""
        self._is_active = False
        self._retry.succeeded()

    def is_lost(self) -> bool:
        return self._retry.is_lost()

    def is_failing(self) -> bool:
        """Whether the last call got no answer."""
        return self._retry.failures > 0

    @abstractmethod
    def _ask(self) -> None: ...

    def _report_failure(self, call: str, failure: StoreFailure) -> None:
        waited_s = self._scheduler.now_s() - self._asked_at_s
        self._observer.store_failed(call, failure, self._retry.failures, waited_s)


class ConfigFollower(_StoreFollower):
    """Reads the configuration once, then watches it."""

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        store: StoreReader,
        view: ConfigView,
        observer: FollowerObserver,
    ):
        super().__init__(settings, scheduler, store, observer)
        self._view = view
        self._revision: Revision = NO_REVISION
        # How long the watch waits that was asked last.
        self._wait_s = 0.0

    def resume(self) -> None:
        """Read now, then watch, until ``pause`` is called."""
        if not self._is_active:
            self._is_active = True
            self._revision = NO_REVISION
            if not self._is_asking:
                self._ask()

    def fetch(self, version: ConfigVersion, peer: Address) -> None:
        """Read once, for a newer version that a peer names without giving it."""
        self._observer.config_named(version, peer, waits=self._is_asking)
        if not self._is_asking:
            self._is_asking = True
            self._read()

    def _ask(self) -> None:
        if not self._is_active or self._is_asking:
            return
        self._is_asking = True
        if self._revision == NO_REVISION:
            self._read()
        else:
            self._watch()

    def _read(self) -> None:
        self._asked_at_s = self._scheduler.now_s()
        self._store.read_config(lambda answer: self._take("read_config", answer))

    def _watch(self) -> None:
        """Wait until the view is as old as the wait of a watch allows."""
        self._asked_at_s = self._scheduler.now_s()
        age_s = self._view.age_s(self._asked_at_s) or 0.0
        self._wait_s = max(self._settings.watch_wait_s - age_s, MIN_WATCH_WAIT_S)
        self._store.watch_config(
            self._revision,
            self._wait_s,
            lambda answer: self._take("watch_config", answer),
        )

    def _take(self, call: str, answer: ConfigAnswer) -> None:
        self._is_asking = False
        pause_s = 0.0
        waited_s = self._scheduler.now_s() - self._asked_at_s
        if isinstance(answer, StoreFailure):
            pause_s = self._retry.failed()
            self._report_failure(call, answer)
            # Whatever kept a watch from being answered, a read tells the newest.
            self._revision = NO_REVISION
            if call == "watch_config" and waited_s > self._wait_s:
                pause_s = 0.0
        else:
            self._retry.succeeded()
            self._observer.store_answered(call, waited_s)
            self._learn(answer, self._certain_at_s(call, answer))
            if isinstance(answer, ConfigMissing):
                pause_s = self._settings.store_retry_s
            elif call == "read_config":
                pause_s = FIRST_WATCH_PAUSE_S
        if pause_s:
            self._scheduler.call_later(pause_s, self._ask)
        else:
            self._ask()

    def _certain_at_s(self, call: str, answer: ConfigAnswer) -> float:
        """Up to when an answer tells for certain what the store held.

        What the store knew when it was asked is certain. A watch that ends without a
        change was answered only after its wait.
        """
        waited_s = self._scheduler.now_s() - self._asked_at_s
        is_ended = isinstance(answer, ConfigUnchanged) and waited_s >= self._wait_s
        if call == "watch_config" and is_ended:
            return self._asked_at_s + self._wait_s
        return self._asked_at_s

    def _learn(self, answer: ConfigAnswer, certain_at_s: float) -> None:
        if isinstance(answer, HistoryExpired):
            self._revision = NO_REVISION
            return
        self._revision = answer.revision
        unconfirmed_s = self._view.age_s(self._scheduler.now_s())
        self._view.confirm(certain_at_s)
        if isinstance(answer, ConfigInvalid):
            self._observer.config_invalid(answer)
        elif isinstance(answer, ConfigRead) and self._view.apply(answer.config):
            self._observer.config_applied(self._view, "store", unconfirmed_s)


class DirectoryFollower(_StoreFollower):
    """Reads the listing of upstreams at an interval, or sooner when it is asked to."""

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        store: StoreReader,
        directory: UpstreamDirectory,
        observer: FollowerObserver,
    ):
        super().__init__(settings, scheduler, store, observer)
        self._directory = directory
        self._timer: Timer | None = None
        self._is_patient = False
        self.on_answer: Callable[[], None] = lambda: None
        self._listings = 0

    def resume(self, is_patient: bool = False) -> None:
        """Read now and then at the interval, until ``pause`` is called.

        A patient host waits longer after each failure, until it is patient no longer.
        """
        is_overdue = self._is_patient and not is_patient and self.is_failing()
        self._is_patient = is_patient
        if not self._is_active:
            self._is_active = True
            self._listings = 0
        elif not is_overdue:
            return
        if not self._is_asking:
            self._stop_timer()
            self._ask()

    def pause(self) -> None:
        """Read no more, unless ``hurry`` asks for it."""
        super().pause()
        self._stop_timer()

    def is_lost(self) -> bool:
        # Others have lost the store already if this host is patient.
        return super().is_lost() or (self._is_patient and self.is_failing())

    def hurry(self) -> None:
        """Read now, unless a read is under way or has just been made."""
        since_s = self._scheduler.now_s() - self._asked_at_s
        if not self._is_asking and since_s >= self._settings.store_retry_s:
            self._stop_timer()
            self._ask()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _ask(self) -> None:
        self._is_asking = True
        self._asked_at_s = self._scheduler.now_s()
        is_current = self._listings % CURRENT_LISTING_EACH == 0
        self._listings += 1
        self._store.list_upstreams(is_current, self._take)

    def _take(self, answer: Listing | StoreFailure) -> None:
        self._is_asking = False
        now_s = self._scheduler.now_s()
        if isinstance(answer, StoreFailure):
            self._directory.store_lost()
            pause_s = self._retry.failed()
            if self._is_patient:
                pause_s = _jittered(PATIENT_RETRY_S)
            self._report_failure("list_upstreams", answer)
        else:
            self._retry.succeeded()
            # What the answer says may be as old as the question.
            age_s = now_s - self._asked_at_s
            interval_s = _jittered(self._settings.listing_interval_s)
            pause_s = max(self._settings.store_retry_s, interval_s - age_s)
            self._observer.store_answered("list_upstreams", age_s)
            changes = self._directory.apply(answer, now_s, age_s=age_s)
            if changes:
                self._observer.directory_applied(changes, "store")
            self.on_answer()
        if self._is_active:
            self._timer = self._scheduler.call_later(pause_s, self._ask)


def _jittered(pause_s: float) -> float:
    return pause_s * random.uniform(1.0 - JITTER, 1.0 + JITTER)
