"""Shared infrastructure of a host: environment, interfaces, messages, logs, tasks."""

from .environment import Environment
from .interfaces import (
    DatagramHandler,
    DatagramSocket,
    DatagramSocketFactory,
    Metrics,
    PeerHandler,
    PeerMessenger,
    Store,
    StoreEntry,
    StoreKeyMissing,
)
from .listeners import notify_listener
from .logs import configure_logs, log_event, log_event_limited
from .messages import MAX_MESSAGE_BYTES, Message, decode, encode, message
from .metrics import InMemoryMetrics, StatsdMetrics
from .report import FleetReport, RequestOutcome, build_host_report, merge_reports
from .tasks import spawn, stop_process

__all__ = [
    "MAX_MESSAGE_BYTES",
    "DatagramHandler",
    "DatagramSocket",
    "DatagramSocketFactory",
    "Environment",
    "FleetReport",
    "InMemoryMetrics",
    "Message",
    "Metrics",
    "PeerHandler",
    "PeerMessenger",
    "RequestOutcome",
    "StatsdMetrics",
    "Store",
    "StoreEntry",
    "StoreKeyMissing",
    "build_host_report",
    "configure_logs",
    "decode",
    "encode",
    "log_event",
    "log_event_limited",
    "merge_reports",
    "message",
    "notify_listener",
    "spawn",
    "stop_process",
]
