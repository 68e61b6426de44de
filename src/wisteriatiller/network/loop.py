"""A small event loop for processes that must start fast and use little memory.

``asyncio`` alone would double the memory and startup time of a host;
``docs/platform.md`` has the figures.
"""

import heapq
import selectors
import signal
import socket
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from itertools import count

MAX_SELECT_WAIT_S = 1.0
# An iteration that starts this much later than due shows that the process was paused.
PAUSE_THRESHOLD_S = 0.7
_READ = selectors.EVENT_READ
_WRITE = selectors.EVENT_WRITE


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("callback", "is_cancelled")

    def __init__(self, callback: Callable[[], None]):
        self.callback = callback
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class Scheduler(ABC):
    """A clock with timers; tests use an implementation on virtual time."""

    @abstractmethod
    def now_s(self) -> float:
        """Return the seconds of a monotonic clock."""

    @abstractmethod
    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer: ...


class EventLoop(Scheduler):
    """Calls back for sockets, timers and signals in a single thread."""

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_sequence = count()
        self._is_stopped = False
        self._last_wakeup_s = self.now_s()
        # Called with the length of a pause, before all other callbacks.
        self.on_pause: Callable[[float], None] = lambda paused_s: None

    def now_s(self) -> float:
        # Unlike CLOCK_MONOTONIC, this clock advances while the machine is suspended, so
        # timers that expired meanwhile run at once.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        timer = Timer(callback)
        due_s = self.now_s() + delay_s
        heapq.heappush(self._timers, (due_s, next(self._timer_sequence), timer))
        return timer

    def watch(
        self,
        watched: socket.socket,
        on_readable: Callable[[], None] | None,
        on_writable: Callable[[], None] | None = None,
    ) -> None:
        """Set the callbacks of a socket; without any, stop watching it."""
        events = (_READ if on_readable else 0) | (_WRITE if on_writable else 0)
        is_known = watched.fileno() in self._selector.get_map()
        if not events:
            if is_known:
                self._selector.unregister(watched)
        elif is_known:
            self._selector.modify(watched, events, (on_readable, on_writable))
        else:
            self._selector.register(watched, events, (on_readable, on_writable))

    def add_signal_handler(self, number: int, callback: Callable[[], None]) -> None:
        """Call back from the event loop after a signal."""
        signal.signal(number, lambda *_: self.call_later(0.0, callback))
        if signal.set_wakeup_fd(-1) == -1:
            self._open_wakeup_sockets()
        signal.set_wakeup_fd(self._wakeup_write.fileno(), warn_on_full_buffer=False)

    def run(self) -> None:
        while not self._is_stopped:
            self.run_once()

    def stop(self) -> None:
        self._is_stopped = True

    def run_once(self) -> None:
        wait_s = self._select_timeout_s()
        ready = self._selector.select(wait_s)
        self._detect_pause(wait_s)
        for key, events in ready:
            on_readable, on_writable = key.data
            if events & _READ and on_readable:
                on_readable()
            if events & _WRITE and on_writable and self._is_watched(key):
                on_writable()
        self._run_timers()

    def _detect_pause(self, wait_s: float) -> None:
        now_s = self.now_s()
        paused_s = now_s - self._last_wakeup_s - wait_s
        self._last_wakeup_s = now_s
        if paused_s > PAUSE_THRESHOLD_S:
            self.on_pause(paused_s)

    def _is_watched(self, key: selectors.SelectorKey) -> bool:
        """Whether the socket is still watched after its read callback."""
        return key.fd in self._selector.get_map()

    def _run_timers(self) -> None:
        now_s = self.now_s()
        while self._timers and self._timers[0][0] <= now_s:
            _, _, timer = heapq.heappop(self._timers)
            if not timer.is_cancelled:
                timer.callback()

    def _select_timeout_s(self) -> float:
        while self._timers and self._timers[0][2].is_cancelled:
            heapq.heappop(self._timers)
        if not self._timers:
            return MAX_SELECT_WAIT_S
        return min(MAX_SELECT_WAIT_S, max(0.0, self._timers[0][0] - self.now_s()))

    def _open_wakeup_sockets(self) -> None:
        # A signal must interrupt a select call that is already waiting.
        wakeup_read, self._wakeup_write = socket.socketpair()
        wakeup_read.setblocking(False)
        self._wakeup_write.setblocking(False)
        self.watch(wakeup_read, lambda: wakeup_read.recv(64))
