"""Requests at their owner: admission, queues, retries, duplicates and health."""

from .dispatch import UpstreamDispatcher
from .duplicates import (
    EXCHANGE_LIFETIME_S,
    FINAL_STATES,
    DuplicateTable,
    RequestKey,
    RequestRecord,
    RequestState,
)
from .health import PROBE_INTERVAL_S, HealthEvent, HealthListener, UpstreamHealth
from .interfaces import DispatchPolicy, ShardContext
from .queueing import Request

__all__ = [
    "EXCHANGE_LIFETIME_S",
    "FINAL_STATES",
    "PROBE_INTERVAL_S",
    "DispatchPolicy",
    "DuplicateTable",
    "HealthEvent",
    "HealthListener",
    "Request",
    "RequestKey",
    "RequestRecord",
    "RequestState",
    "ShardContext",
    "UpstreamDispatcher",
    "UpstreamHealth",
]
