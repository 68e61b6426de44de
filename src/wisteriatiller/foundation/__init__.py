"""What each part of a host is built on: environment, ports, messages and tasks."""

from .environment import Environment
from .listeners import call_listener
from .logs import configure_logs, log_event, log_event_limited
from .messages import MAX_MESSAGE_BYTES, Message, decode, encode, message
from .metrics import NullMetrics, StatsdMetrics
from .ports import (
    DatagramPort,
    DatagramPorts,
    Metrics,
    PeerHandler,
    PeerPort,
    ReceiveDatagram,
    Store,
    StoreEntry,
    StoreMissing,
)
from .report import FleetReport, RequestOutcome, host_report, merge_reports
from .tasks import spawn, stop_process

__all__ = [
    "MAX_MESSAGE_BYTES",
    "DatagramPort",
    "DatagramPorts",
    "Environment",
    "FleetReport",
    "Message",
    "Metrics",
    "NullMetrics",
    "PeerHandler",
    "PeerPort",
    "ReceiveDatagram",
    "RequestOutcome",
    "StatsdMetrics",
    "Store",
    "StoreEntry",
    "StoreMissing",
    "call_listener",
    "configure_logs",
    "decode",
    "encode",
    "host_report",
    "log_event",
    "log_event_limited",
    "merge_reports",
    "message",
    "spawn",
    "stop_process",
]
