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
from .loop import EventLoop, Scheduler, Timer

__all__ = [
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
