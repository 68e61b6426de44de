"""Structured logging that is limited in rate and never blocks the process."""

import os
import time
from abc import ABC, abstractmethod

from wisteriatiller.eventline import event_line

# Token bucket for lines about single flows; those about the process are not limited.
MAX_FLOW_LINES_PER_S = 40.0
MAX_FLOW_LINES_BURST = 80.0
# Buffer for output that the reader of the log has not consumed yet; lines beyond it are
# dropped and counted.
MAX_UNWRITTEN_BYTES = 65_536


class EventLog(ABC):
    """A structured log of decisions and state changes."""

    @abstractmethod
    def event(self, name: str, **pairs: object) -> None:
        """Log an event of the process, such as its start or a change of its state."""

    @abstractmethod
    def flow_event(self, name: str, **pairs: object) -> None:
        """Log an event of one flow; above the rate limit, events are only counted."""


class StreamLog(EventLog):
    """Writes to a file descriptor, which it sets to non-blocking.

    A ``lines_left_out`` event has the number of lines that were dropped before it.
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
            # The reader of the log has closed it.
            self._unwritten = b""
            self._count_dropped_line()
            return
        self._unwritten = self._unwritten[written:]
