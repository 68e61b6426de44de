"""Background tasks whose failures are not lost."""

import asyncio
from collections.abc import Coroutine

from wisteriatiller.exceptions import InvariantBroken

from .logs import log_event

# Exit status EX_SOFTWARE, so that a supervisor can tell a broken invariant from a
# rejected command, which exits with 2.
EXIT_INVARIANT_BROKEN = 70

_running: set[asyncio.Task] = set()


def stop_process(error: BaseException) -> None:
    """Leave the event loop, and so the process, after a broken invariant.

    asyncio lets ``SystemExit`` through from callbacks and tasks, unlike any other
    exception, which it only logs.
    """
    log_event("invariant_broken", level="error", detail=error)
    raise SystemExit(EXIT_INVARIANT_BROKEN) from error


def spawn(coroutine: Coroutine, name: str) -> asyncio.Task:
    """Run ``coroutine`` as a task; log its failure, or stop the process."""
    task = asyncio.get_running_loop().create_task(coroutine, name=name)
    # The event loop itself keeps only weak references to tasks.
    _running.add(task)
    task.add_done_callback(_finish)
    return task


def _finish(task: asyncio.Task) -> None:
    _running.discard(task)
    if task.cancelled():
        return
    error = task.exception()
    if isinstance(error, InvariantBroken):
        stop_process(error)
    elif isinstance(error, Exception):
        log_event("task_failed", level="error", exc_info=error, task=task.get_name())
