"""Calls listeners so that their exceptions cannot stop the calling protocol."""

from collections.abc import Callable

from wisteriatiller.exceptions import InvariantBroken

from .interfaces import Metrics
from .logs import log_event
from .tasks import stop_process


def notify_listener(metrics: Metrics, listener: Callable, *details: object) -> None:
    """Call a membership listener and log any exception that it raises.

    A broken invariant stops the process instead.
    """
    try:
        listener(*details)
    except InvariantBroken as error:
        stop_process(error)
    except Exception as error:
        metrics.count("membership.listener_errors")
        log_event("listener_failed", level="error", exc_info=error)
