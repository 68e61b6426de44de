"""Structured log lines on standard output, bounded in volume and never blocking."""

import os
import time
from abc import ABC, abstractmethod

from wisteriatiller.eventline import event_line

# Lines about single flows; lines about the process itself are always written.
MAX_FLOW_LINES_PER_S = 40.0
MAX_FLOW_LINES_BURST = 80.0
# Text that the reader of the log has not taken yet; more is dropped and counted.
MAX_UNWRITTEN_BYTES = 65_536


class EventLog(ABC):
    """Takes one event for each decision or change of belief."""

    @abstractmethod
    def event(self, name: str, **pairs: object) -> None:
        """Write an event of the process: a start, a stop, a changed belief."""

    @abstractmethod
    def flow_event(self, name: str, **pairs: object) -> None:
        """Write an event of one flow; under load some are left out and counted."""


class StreamLog(EventLog):
    """Writes to a file descriptor that it makes non-blocking.

    A ``lines_left_out`` event tells how many lines are missing before it.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._unwritten = b""
        self._tokens = MAX_FLOW_LINES_BURST
        self._refilled_at_s = time.monotonic()
        self._dropped_lines = 0
        self.dropped_lines_total = 0
        os.set_blocking(descriptor, False)

    def event(self, name, **pairs):
        if self._dropped_lines:
            count, self._dropped_lines = self._dropped_lines, 0
            self._write(event_line("lines_left_out", count=count))
        self._write(event_line(name, **pairs))

    def flow_event(self, name, **pairs):
        if self._take_token():
            self.event(name, **pairs)
        else:
            self._count_dropped_line()

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        refilled = (now_s - self._refilled_at_s) * MAX_FLOW_LINES_PER_S
        self._tokens = min(MAX_FLOW_LINES_BURST, self._tokens + refilled)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _count_dropped_line(self) -> None:
        self._dropped_lines += 1
        self.dropped_lines_total += 1

    def _write(self, text: str) -> None:
        seconds = time.time()
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
        line = f"time={stamp}.{int(seconds % 1 * 1000):03d}Z {text}\n".encode()
        if len(self._unwritten) + len(line) > MAX_UNWRITTEN_BYTES:
            self._count_dropped_line()
            return
        self._unwritten += line
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; the lines are counted as left out.
            self._unwritten = b""
            self._count_dropped_line()
            return
        self._unwritten = self._unwritten[written:]
