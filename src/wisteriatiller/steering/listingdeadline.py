"""Reads the store before the listing gets older than the bound of drains allows."""

from wisteriatiller.network.loop import Scheduler

from .directory import UpstreamDirectory
from .directorypoller import DirectoryPoller
from .settings import SteeringSettings
from .storepolling import StateObserver

# How often the age is checked while a read is overdue or there is no listing yet.
RECHECK_INTERVAL_S = 0.25


class ListingDeadline:
    """Reads the listing itself once its last confirmation is too long ago.

    A host asks others for the listing, and each of them may keep it waiting. Whatever
    they do, a change is known one read after ``settings.listing_deadline_s``. In normal
    operation a confirmation arrives before that, and this class makes no call.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        scheduler: Scheduler,
        directory: UpstreamDirectory,
        poller: DirectoryPoller,
        observer: StateObserver,
    ):
        self._settings = settings
        self._scheduler = scheduler
        self._directory = directory
        self._poller = poller
        self._observer = observer

    def check_repeatedly(self) -> None:
        """Check the age now and again when it can next reach the deadline."""
        age_s = self._directory.confirmed_age_s(self._scheduler.now_s())
        left_s = 0.0
        if age_s is not None:
            left_s = self._settings.listing_deadline_s - age_s
            if left_s <= 0.0 and self._poller.read_overdue():
                self._observer.listing_overdue(age_s)
        delay_s = max(left_s, RECHECK_INTERVAL_S)
        self._scheduler.call_later(delay_s, self.check_repeatedly)
