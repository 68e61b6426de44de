"""Background tasks whose exceptions are logged, and the exit on a broken invariant."""

import asyncio
from collections.abc import Coroutine

from wisteriatiller.exceptions import InvariantBroken

from .logs import log_event

# EX_SOFTWARE of sysexits.h. A supervisor can thus distinguish a broken invariant from
# a rejected command, which exits with status 2.
EXIT_INVARIANT_BROKEN = 70

_running_tasks: set[asyncio.Task] = set()


def stop_process(error: BaseException) -> None:
    """Log a broken invariant and exit the process.

    Raises ``SystemExit``, which asyncio propagates out of callbacks and tasks. Other
    exceptions it only logs.
    """
    log_event("invariant_broken", level="error", detail=error)
    raise SystemExit(EXIT_INVARIANT_BROKEN) from error


def spawn(coroutine: Coroutine, name: str) -> asyncio.Task:
    """Run a coroutine as a background task and log its exception, if any.

    A broken invariant stops the process instead.
    """
    task = asyncio.get_running_loop().create_task(coroutine, name=name)
    # The event loop keeps only weak references to tasks.
    _running_tasks.add(task)
    task.add_done_callback(_handle_completion)
    return task


def _handle_completion(task: asyncio.Task) -> None:
    _running_tasks.discard(task)
    if task.cancelled():
        return
    error = task.exception()
    if isinstance(error, InvariantBroken):
        stop_process(error)
    elif isinstance(error, Exception):
        log_event("task_failed", level="error", exc_info=error, task=task.get_name())
