"""Request-reply messaging between hosts, independent of the transport.

A frame is the msgpack array ``[sender, call id, reply id, message]``. A call id of 0
means that no reply is expected, a reply id of 0 that the frame is not a reply.
"""

import asyncio
from abc import abstractmethod

import msgpack

from wisteriatiller.exceptions import InvariantBroken, MessageError
from wisteriatiller.foundation import (
    MAX_MESSAGE_BYTES,
    Message,
    Metrics,
    PeerHandler,
    PeerMessenger,
    decode,
    encode,
    log_event,
    log_event_limited,
    spawn,
    stop_process,
)
from wisteriatiller.ids import HostId
from wisteriatiller.outcomes import Reason, Unreachable

MAX_FRAME_BYTES = MAX_MESSAGE_BYTES + 1024


class BasePeerMessenger(PeerMessenger):
    """Encodes messages, matches replies to calls and calls the handlers.

    A subclass implements the transport: it sends frames in ``_transmit`` and passes
    received frames to ``_receive_frame``.
    """

    def __init__(self, host_id: HostId, metrics: Metrics, first_call_id: int = 1):
        self.host_id = host_id
        self._metrics = metrics
        self._handlers: dict[type[Message], PeerHandler] = {}
        self._pending_calls: dict[int, tuple[HostId, asyncio.Future]] = {}
        self._next_call_id = first_call_id

    @abstractmethod
    def _transmit(self, host_id: HostId, frame: bytes) -> None:
        """Queue a frame for another host, or drop it if that is not possible."""

    def register(self, message_type, handler):
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} already has a handler")
        self._handlers[message_type] = handler

    def send(self, host_id, message):
        self._send_frame(host_id, 0, 0, message)

    async def call(self, host_id, message, timeout_s):
        call_id = self._next_call_id
        self._next_call_id += 1
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[call_id] = (host_id, future)
        try:
            self._send_frame(host_id, call_id, 0, message)
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return Unreachable(Reason.TIMEOUT)
        finally:
            del self._pending_calls[call_id]

    def _send_frame(
        self, host_id: HostId, call_id: int, reply_id: int, message: Message
    ) -> None:
        frame = msgpack.packb([self.host_id, call_id, reply_id, encode(message)])
        if len(frame) > MAX_FRAME_BYTES:
            self._metrics.count("peers.dropped_oversized")
            log_event(
                "frame_too_large",
                level="error",
                message=type(message).__name__,
                bytes=len(frame),
            )
        elif host_id == self.host_id:
            asyncio.get_running_loop().call_soon(self._receive_frame, frame)
        else:
            self._metrics.count("peers.frames_sent")
            self._metrics.count("peers.bytes_sent", len(frame))
            self._transmit(host_id, frame)

    def _receive_frame(self, frame: bytes) -> None:
        """Complete the call that a frame replies to, or call the message's handler."""
        try:
            sender, call_id, reply_id, message = _decode_frame(frame)
        except MessageError as error:
            self._metrics.count("peers.dropped_malformed")
            log_event_limited("frame_dropped", level="warning", detail=error)
            return
        if reply_id:
            self._complete_call(sender, reply_id, message)
        else:
            self._call_handler(sender, call_id, message)

    def _complete_call(self, sender: HostId, reply_id: int, message: Message) -> None:
        """Pass a reply to its call, if the host that was called sent it in time."""
        host_id, future = self._pending_calls.get(reply_id, (None, None))
        if host_id == sender and not future.done():
            future.set_result(message)
        else:
            self._metrics.count("peers.late_replies")

    def _call_handler(self, sender: HostId, call_id: int, message: Message) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self._metrics.count("peers.dropped_unhandled")
            return
        try:
            reply = handler(sender, message)
        except Exception as error:
            self._report_handler_error(message, error)
            return
        if reply is None or isinstance(reply, Message):
            self._send_reply(sender, call_id, reply)
        else:
            name = f"handle {type(message).__name__}"
            spawn(self._reply_when_done(sender, call_id, message, reply), name)

    async def _reply_when_done(self, sender, call_id, message, pending_reply) -> None:
        """Await the result of a coroutine handler and send it as the reply."""
        try:
            reply = await pending_reply
        except Exception as error:
            self._report_handler_error(message, error)
        else:
            self._send_reply(sender, call_id, reply)

    def _send_reply(self, sender: HostId, call_id: int, reply: Message | None) -> None:
        if call_id and reply is not None:
            self._send_frame(sender, 0, call_id, reply)

    def _report_handler_error(self, message: Message, error: Exception) -> None:
        if isinstance(error, InvariantBroken):
            stop_process(error)
        self._metrics.count("peers.handler_errors")
        log_event(
            "handler_failed",
            level="error",
            exc_info=error,
            message=type(message).__name__,
        )


def _decode_frame(frame: bytes) -> tuple[HostId, int, int, Message]:
    try:
        sender, call_id, reply_id, body = msgpack.unpackb(frame)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MessageError(f"undecodable frame: {error}") from error
    if not (
        isinstance(sender, str)
        and type(call_id) is int
        and type(reply_id) is int
        and isinstance(body, bytes)
    ):
        raise MessageError("frame has fields of the wrong type")
    return HostId(sender), call_id, reply_id, decode(body)
