"""Expiry of queued requests that can no longer meet their deadline."""

import asyncio
from collections.abc import Callable

from wisteriatiller.foundation import Environment

from .admission import AdmissionControl
from .queueing import FairQueue, Request

# The shortest interval between two checks of the oldest queued request.
MIN_EXPIRY_WAIT_S = 0.001


class QueueExpiry:
    """Refuses queued requests, oldest first, when they can no longer be answered."""

    def __init__(
        self,
        environment: Environment,
        queue: FairQueue,
        admission: AdmissionControl,
        refuse: Callable[[Request], None],
    ):
        self.is_paused = False
        self._environment = environment
        self._queue = queue
        self._admission = admission
        self._refuse = refuse
        self._timer: asyncio.TimerHandle | None = None

    def arm(self) -> None:
        """Start the timer for the oldest queued request, unless it is running."""
        oldest = self._queue.peek_oldest()
        if oldest is None or self.is_paused or self._timer is not None:
            return
        wait_s = self._admission.latest_dispatch_s(oldest) - self._now_s()
        self._timer = asyncio.get_running_loop().call_later(
            max(MIN_EXPIRY_WAIT_S, wait_s), self._expire
        )

    def cancel(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _expire(self) -> None:
        self._timer = None
        while not self.is_paused:
            oldest = self._queue.peek_oldest()
            if oldest is None or self._now_s() < self._admission.latest_dispatch_s(
                oldest
            ):
                break
            self._queue.remove(oldest)
            self._refuse(oldest)
        self.arm()

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
