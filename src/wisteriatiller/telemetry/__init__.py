"""Structured logs and metrics of the flow path."""

from .counters import Counters, Histogram
from .eventlog import EventLog, StreamLog

__all__ = ["Counters", "EventLog", "Histogram", "StreamLog"]
