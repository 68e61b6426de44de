"""A request at its owner: limits, queues, duplicates, retries and health."""

from .dispatch import UpstreamDispatcher
from .duplicates import (
    EXCHANGE_LIFETIME_S,
    FINAL_STATES,
    DuplicateTable,
    RequestKey,
    RequestRecord,
    RequestState,
)
from .gates import DispatchGate, DispatchPolicy
from .health import PROBE_INTERVAL_S, HealthEvent, HealthListener, UpstreamHealth
from .queueing import Request

__all__ = [
    "EXCHANGE_LIFETIME_S",
    "FINAL_STATES",
    "PROBE_INTERVAL_S",
    "DispatchGate",
    "DispatchPolicy",
    "DuplicateTable",
    "HealthEvent",
    "HealthListener",
    "Request",
    "RequestKey",
    "RequestRecord",
    "RequestState",
    "UpstreamDispatcher",
    "UpstreamHealth",
]
