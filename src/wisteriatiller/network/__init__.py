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
]
