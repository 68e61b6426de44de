"""The event loop, HTTP client and HTTP server of the flow path."""

from .httpclient import (
    FailureReason,
    HttpClient,
    HttpFailure,
    HttpRequest,
    HttpResponse,
    HttpResult,
)
from .httpserver import HttpServer, Page
from .loop import PAUSE_THRESHOLD_S, EventLoop, Scheduler, Timer
from .targets import percent_decoded, percent_encoded, raw_bytes, request_target

__all__ = [
    "PAUSE_THRESHOLD_S",
    "EventLoop",
    "FailureReason",
    "HttpClient",
    "HttpFailure",
    "HttpRequest",
    "HttpResponse",
    "HttpResult",
    "HttpServer",
    "Page",
    "Scheduler",
    "Timer",
    "percent_decoded",
    "percent_encoded",
    "raw_bytes",
    "request_target",
]
