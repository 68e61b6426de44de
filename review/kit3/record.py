"""The record of a case, its network and its exit status."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Coroutine
from pathlib import Path

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def own_network() -> str:
    """The first three octets of a loopback network of this process alone."""
    return f"127.{60 + os.getpid() % 60}.{os.getpid() // 60 % 250 + 1}"


class Record:
    """Writes ``record.txt`` in the folder of the case, with times from the start."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, file=sys.stderr, flush=True)

    def at(self, moment_s: float) -> str:
        """A moment of the monotonic clock as seconds from the start."""
        return f"{moment_s - self._began_s:.3f}"


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def run_to_end(case: Coroutine[None, None, int]) -> int:
    """Run a case; a SIGTERM ends it, and with it the processes that it has started."""

    async def run() -> int:
        task = asyncio.create_task(case)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return COULD_NOT_RUN

    return asyncio.run(run())
