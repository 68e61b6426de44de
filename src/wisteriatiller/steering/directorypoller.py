"""Polls the store to keep the directory of upstreams current."""

from collections.abc import Callable

from wisteriatiller.network.loop import Scheduler, Timer

from .directory import UpstreamDirectory
from .ports import StoreFailure, StoreFailureReason, StoreReader
from .settings import SteeringSettings
from .storepolling import MAX_RETRY_S, StateObserver, StorePoller, jittered
from .upstreams import Listing

# Used while hosts that come earlier in reader order retry the store too. Without it all
# hosts together would overload the store when it comes back.
LONG_RETRY_S = 4.0
# Stale reads cost the store a tenth of a current read, but may be many seconds behind.
# The first listing of a host and every second one are current reads, so that a drain is
# seen within two intervals.
CURRENT_LISTING_EVERY = 2


class DirectoryPoller(StorePoller):
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
        # Whether the last call reads the newest entries, and whether the next one must.
        self._is_current = False
        self._needs_current = False

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
            self._uses_long_backoff and self.is_failing() and not self._was_answered
        )

    def refresh_now(self) -> None:
        """Read now, unless a read is pending or has just been made."""
        since_call_s = self._scheduler.now_s() - self._called_at_s
        if not self._is_call_pending and since_call_s >= self._settings.store_retry_s:
            self._stop_timer()
            self._call_store()

    def read_overdue(self) -> bool:
        """Read the newest entries now; return whether that needs a further call.

        While a failed read is repeated, nothing is added to those calls. A stale read
        that is pending is followed by a current one at once, even if it fails.
        """
        since_call_s = self._scheduler.now_s() - self._called_at_s
        is_repeated = self._is_active or since_call_s < MAX_RETRY_S
        if self.is_failing() and is_repeated:
            return False
        if self._is_call_pending:
            self._needs_current = not self._is_current
            return self._needs_current
        self._needs_current = True
        self._stop_timer()
        self._call_store()
        return True

    def _is_of_lagging_replica(self, failure: StoreFailure) -> bool:
        """Whether stale pages from before a restore explain a failure.

        It says nothing about the store; a current read follows at once.
        """
        is_mixed = failure.reason is StoreFailureReason.MIXED_EPOCHS
        return is_mixed and not self._is_current

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _call_store(self) -> None:
        self._is_call_pending = True
        self._called_at_s = self._scheduler.now_s()
        is_due = self._listing_count % CURRENT_LISTING_EVERY == 0
        self._is_current = is_due or self._needs_current
        self._needs_current = False
        self._listing_count += 1
        self._store.list_upstreams(self._is_current, self._handle_answer)

    def _handle_answer(self, answer: Listing | StoreFailure) -> None:
        self._is_call_pending = False
        now_s = self._scheduler.now_s()
        if isinstance(answer, StoreFailure) and self._is_of_lagging_replica(answer):
            self._needs_current = True
            self._report_failure("list_upstreams", answer)
        elif isinstance(answer, StoreFailure):
            self._directory.mark_store_lost()
            delay_s = self._backoff.next_delay_s()
            if self._uses_long_backoff:
                delay_s = jittered(LONG_RETRY_S)
            self._report_failure("list_upstreams", answer)
        else:
            self._backoff.reset()
            # The listing may be as old as the call for it.
            age_s = now_s - self._called_at_s
            interval_s = jittered(self._settings.listing_interval_s)
            delay_s = max(self._settings.store_retry_s, interval_s - age_s)
            self._observer.store_answered("list_upstreams", age_s, answer.epoch)
            applied = self._directory.apply(
                answer,
                now_s,
                age_s=age_s,
                confirmed_age_s=age_s if self._is_current else None,
            )
            self._observer.listing_applied(applied, "store")
            self.on_listing_read()
        if self._needs_current:
            self._call_store()
        elif self._is_active:
            self._timer = self._scheduler.call_later(delay_s, self._call_store)
