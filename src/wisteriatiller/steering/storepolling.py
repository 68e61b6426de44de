"""What the pollers of the store share: their base class, backoff and observer."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from wisteriatiller.ids import Address, StoreEpoch
from wisteriatiller.network.loop import Scheduler

from .directory import AppliedListing, UpstreamChange
from .evacuation import EvacuationView
from .ports import (
    ConfigInvalid,
    StoreFailure,
    StoreFailureReason,
    StoreReader,
)
from .routes import ConfigVersion, ConfigView
from .settings import SteeringSettings
from .upstreams import OutdatedPages

MAX_RETRY_S = 1.0
# A single failure may only mean that the store has closed an idle connection.
LOST_AFTER_FAILURES = 2
# Failures of a store that answers.
ANSWERED_FAILURES = (StoreFailureReason.UNREADABLE, StoreFailureReason.MIXED_EPOCHS)
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
    def evacuations_applied(
        self, view: EvacuationView, source: str, unconfirmed_s: float | None
    ) -> None:
        """Record that other zones are evacuated than before, or the first set.

        ``unconfirmed_s`` is as for ``config_applied``.
        """

    @abstractmethod
    def evacuation_keys_ignored(self, keys: Sequence[str]) -> None:
        """Record keys beside the evacuations that name no zone."""

    @abstractmethod
    def directory_applied(self, changes: list[UpstreamChange], source: str) -> None: ...

    @abstractmethod
    def store_failed(
        self, call: str, failure: StoreFailure, failures: int, waited_s: float
    ) -> None: ...

    @abstractmethod
    def store_answered(self, call: str, waited_s: float, epoch: StoreEpoch) -> None: ...

    @abstractmethod
    def listing_rejected(self, outdated: OutdatedPages, source: str) -> None:
        """Record that pages were read and not applied, since newer ones are known."""

    def listing_applied(self, applied: AppliedListing, source: str) -> None:
        """Record what a listing changed, and what of it was left out."""
        if applied.outdated is not None:
            self.listing_rejected(applied.outdated, source)
        if applied.changes:
            self.directory_applied(applied.changes, source)

    @abstractmethod
    def listing_overdue(self, age_s: float) -> None:
        """Record a read of the store because no other host has confirmed the listing.

        ``age_s`` is the time since its last confirmation.
        """


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
        return jittered(delay_s)


class StorePoller(ABC):
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
        # Whether the last failed call was answered, with something unreadable.
        self._was_answered = False

    def pause(self) -> None:
        """Make no further calls; a pending one may still be answered."""
        self._is_active = False
        self._backoff.reset()

    def has_lost_store(self) -> bool:
        """Whether so many calls in a row have failed that the store counts as lost.

        A store whose answers cannot be read is not lost: other calls may succeed, and
        other hosts have no reason to call it less often.
        """
        return self._backoff.has_failed_repeatedly() and not self._was_answered

    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._backoff.failures > 0

    @abstractmethod
    def _call_store(self) -> None: ...

    def _report_failure(self, call: str, failure: StoreFailure) -> None:
        waited_s = self._scheduler.now_s() - self._called_at_s
        self._was_answered = failure.reason in ANSWERED_FAILURES
        self._observer.store_failed(call, failure, self._backoff.failures, waited_s)


def jittered(delay_s: float) -> float:
    """Vary a delay at random, so that hosts that start together get out of step."""
    return delay_s * random.uniform(1.0 - JITTER, 1.0 + JITTER)
