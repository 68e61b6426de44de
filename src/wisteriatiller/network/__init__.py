"""Sockets of the flow path: event loop, HTTP client and HTTP server."""

from .httpclient import (
    FailureReason,
    HttpConnection,
    HttpFailure,
    HttpRequest,
    HttpResponse,
    HttpResult,
)
from .httpserver import HttpServer, Page
from .loop import PAUSE_S, EventLoop, Scheduler, Timer

__all__ = [
    "PAUSE_S",
    "EventLoop",
    "FailureReason",
    "HttpConnection",
    "HttpFailure",
    "HttpRequest",
    "HttpResponse",
    "HttpResult",
    "HttpServer",
    "Page",
    "Scheduler",
    "Timer",
]
