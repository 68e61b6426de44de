"""Structured logging: one line of key=value pairs for each event.

``log_event("config_applied", revision=3)`` writes::

    time=2026-01-05T08:00:00.123Z level=info event=config_applied revision=3
"""

import json
import logging as standard_logging
import time

from absl import flags, logging

from wisteriatiller.eventline import event_line

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


# Malformed input may arrive at any rate. One line per interval is enough to show it.
LIMITED_LOG_INTERVAL_S = 10.0

_last_logged_s: dict[str, float] = {}


def log_event(
    event: str,
    level: str = "info",
    exc_info: BaseException | None = None,
    **pairs: object,
) -> None:
    """Log an event; values that would make the line ambiguous are quoted."""
    if logging.get_verbosity() >= _LEVELS[level]:
        line = event_line(event, **pairs)
        logging.log(_LEVELS[level], "%s", line, exc_info=exc_info)


def log_event_limited(event: str, level: str = "info", **pairs: object) -> None:
    """Log an event that outside input can cause, at most once per interval."""
    now_s = time.monotonic()
    last_s = _last_logged_s.get(event)
    if last_s is None or now_s - last_s >= LIMITED_LOG_INTERVAL_S:
        _last_logged_s[event] = now_s
        log_event(event, level, **pairs)


def configure_logs(verbose: bool = False) -> None:
    """Log to standard error, with time and level at the start of each line."""
    # absl warns if logging is used before flags are parsed. This program has no flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    handler = logging.get_absl_handler()
    handler.setFormatter(_EventLineFormatter())


class _EventLineFormatter(standard_logging.Formatter):
    """Formats records as key=value lines, including records that libraries log."""

    def format(self, record):
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        level = record.levelname.lower()
        message = record.getMessage()
        if not message.startswith("event=") or "\n" in message:
            message = event_line("library_log", logger=record.name, message=message)
        if record.exc_info:
            traceback = self.formatException(record.exc_info)
            message += f" traceback={json.dumps(traceback)}"
        return f"time={seconds}.{int(record.msecs):03d}Z level={level} {message}"
