"""Authenticated messages between hosts over TCP.

Each host opens one outgoing connection to each peer and sends in that direction only;
replies use the connection that the replying host opened.

The accepting host first sends a random nonce. The connecting host then sends frames
as ``length, digest, frame``. The keyed digest covers the nonce, the address of the
accepting host and the sequence number of the frame, so that a frame cannot be replayed
on its connection or on another one. The first frame is empty: it authenticates the
connecting host before the accepting host buffers any larger frame from it.
"""

import asyncio
import secrets
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable, Iterator

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from wisteriatiller.configuration import HostSettings
from wisteriatiller.digests import DIGEST_BYTES, sign, verify
from wisteriatiller.exceptions import MessageError
from wisteriatiller.foundation import Metrics, log_event_limited, spawn
from wisteriatiller.ids import Address, HostId

from .basemessenger import MAX_FRAME_BYTES, BasePeerMessenger

NONCE_BYTES = 16
MAX_QUEUED_FRAMES = 8192
MAX_QUEUED_BYTES = 32 * 1024 * 1024
MAX_BATCH_BYTES = 256 * 1024
READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.1
IDLE_CLOSE_S = 60.0
# Longer than the sender's limit, so that an idle stream is normally closed by the
# sender, which knows whether it has frames to send.
ACCEPTED_IDLE_CLOSE_S = 90.0
# Closes a stream to a dead or frozen host, which acknowledges no data.
WRITE_TIMEOUT_S = 5.0

_FRAME_HEADER = struct.Struct(f"!I{DIGEST_BYTES}s")
_FRAME_NUMBER = struct.Struct("!Q")

AddressLookup = Callable[[HostId], Address | None]


class TcpPeerMessenger(BasePeerMessenger):
    """Sends and receives messages over TCP, with one outgoing stream and one send
    task for each peer.

    ``address_of`` returns the peer address of a host, or None if it is unknown. Set
    it after construction if it depends on this object: membership, for example, is
    built from the environment that holds the messenger::

        peers = TcpPeerMessenger(settings, metrics)
        membership = SwimMembership(environment)
        peers.address_of = membership.address_of
        await peers.start()
    """

    def __init__(
        self,
        settings: HostSettings,
        metrics: Metrics,
        address_of: AddressLookup = lambda host_id: None,
    ):
        # Call ids start at a random number, so that a late reply to a previous
        # process of this host does not match a call of this process.
        super().__init__(settings.host_id, metrics, secrets.randbits(48) + 1)
        if not settings.peer_keys:
            raise ValueError("peer_keys must contain at least one key")
        self.address_of = address_of
        self._keys = settings.peer_keys
        self._listen_address = settings.peer_listen
        self._send_queues: dict[HostId, _SendQueue] = {}
        self._server = _Server(self._read_incoming)
        self._incoming_streams: set[IOStream] = set()
        self.address = settings.peer_listen

    async def start(self) -> None:
        """Listen for connections of other hosts; ``address`` is the bound address."""
        sockets = bind_sockets(
            self._listen_address.port, self._listen_address.ip, backlog=1024
        )
        self.address = Address(*sockets[0].getsockname()[:2])
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening, stop all send tasks and close all streams."""
        self._server.stop()
        for send_queue in self._send_queues.values():
            send_queue.task.cancel()
        for stream in tuple(self._incoming_streams):
            stream.close()

    def _transmit(self, host_id, frame):
        send_queue = self._send_queues.get(host_id)
        if send_queue is None:
            send_queue = self._send_queues[host_id] = _SendQueue()
            send_queue.task = spawn(
                self._run_send_queue(host_id, send_queue), f"stream to {host_id}"
            )
        if not send_queue.try_append(frame):
            self._metrics.count("peers.dropped_queue_full")

    async def _run_send_queue(self, host_id: HostId, send_queue: "_SendQueue") -> None:
        """Connect and send queued frames until the queue has been idle too long.

        If the host cannot be reached, the queued frames are dropped.
        """
        try:
            while await send_queue.wait_for_frame():
                writer = await self._connect(host_id)
                if writer is None:
                    self._metrics.count("peers.dropped_unreachable", send_queue.clear())
                    await asyncio.sleep(RECONNECT_DELAY_S)
                    continue
                try:
                    await self._send_queued_frames(host_id, send_queue, writer)
                except (StreamClosedError, TimeoutError):
                    self._metrics.count("peers.streams_broken")
                finally:
                    writer.stream.close()
        finally:
            send_queue.idle.cancel()
            del self._send_queues[host_id]

    async def _connect(self, host_id: HostId) -> "_FrameWriter | None":
        """Open a stream to a host; None if it is unknown or cannot be reached."""
        address = self.address_of(host_id)
        if address is None:
            return None
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect((address.ip, address.port))
                nonce = await stream.read_bytes(NONCE_BYTES)
        except (StreamClosedError, TimeoutError):
            stream.close()
            return None
        except BaseException:
            stream.close()
            raise
        _set_stream_options(stream)
        # Tornado detects that the peer closed an idle stream only if a close callback
        # is set.
        stream.set_close_callback(lambda: None)
        writer = _FrameWriter(self._keys, stream, nonce, address)
        writer.add_frame(b"")
        return writer

    async def _send_queued_frames(
        self, host_id: HostId, send_queue: "_SendQueue", writer: "_FrameWriter"
    ) -> None:
        """Send until the queue is idle, the stream closes or the address changes."""
        while await send_queue.wait_for_frame():
            if writer.stream.closed():
                return
            if self.address_of(host_id) != writer.address:
                return
            written = writer.write_frames(send_queue.take_batch(MAX_BATCH_BYTES))
            if not written.done():
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await written

    async def _read_incoming(self, stream: IOStream) -> None:
        """Authenticate an incoming stream and handle its frames until it closes."""
        self._incoming_streams.add(stream)
        idle = None
        try:
            _set_stream_options(stream)
            nonce = secrets.token_bytes(NONCE_BYTES)
            local = Address(*stream.socket.getsockname()[:2])
            reader = _FrameReader(self._keys, nonce, local)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.write(nonce)
                while not reader.is_authenticated:
                    chunk = await stream.read_bytes(READ_BYTES, partial=True)
                    self._receive_frames(reader.feed(chunk))
            idle = _IdleTimer(ACCEPTED_IDLE_CLOSE_S, stream.close)
            while True:
                chunk = await stream.read_bytes(READ_BYTES, partial=True)
                idle.restart()
                self._receive_frames(reader.feed(chunk))
        except (StreamClosedError, TimeoutError, OSError):
            pass
        except MessageError as error:
            self._metrics.count("peers.dropped_bad_frame")
            log_event_limited("stream_refused", level="warning", detail=error)
        finally:
            stream.close()
            self._incoming_streams.discard(stream)
            if idle is not None:
                idle.cancel()

    def _receive_frames(self, frames: Iterable[bytes]) -> None:
        for frame in frames:
            self._receive_frame(frame)


class _Server(TCPServer):
    """Passes each accepted stream to ``handle_incoming``."""

    def __init__(self, handle_incoming):
        super().__init__(max_buffer_size=4 * READ_BYTES)
        self._handle_incoming = handle_incoming

    async def handle_stream(self, stream, address):
        await self._handle_incoming(stream)


class _IdleTimer:
    """Calls ``on_idle`` when ``limit_s`` has passed without a restart.

    A restart only records the time, and the event loop's timer is rescheduled when it
    fires: a new timer for each frame would cost more than sending the frame.
    """

    def __init__(self, limit_s: float, on_idle: Callable[[], None]):
        self._limit_s = limit_s
        self._on_idle = on_idle
        self._loop = asyncio.get_running_loop()
        self._last_restart_s = self._loop.time()
        self._timer = self._loop.call_later(limit_s, self._expire_or_rearm)

    def restart(self) -> None:
        self._last_restart_s = self._loop.time()

    def cancel(self) -> None:
        self._timer.cancel()

    def _expire_or_rearm(self) -> None:
        due_s = self._last_restart_s + self._limit_s
        if self._loop.time() >= due_s:
            self._on_idle()
            due_s = self._loop.time() + self._limit_s
        self._timer = self._loop.call_at(due_s, self._expire_or_rearm)


class _SendQueue:
    """The bounded queue of frames for one peer and the task that sends them."""

    def __init__(self):
        self.task: asyncio.Task | None = None
        self._frames: deque[bytes] = deque()
        self._size_bytes = 0
        self._wake_up = asyncio.Event()
        self.idle = _IdleTimer(IDLE_CLOSE_S, self._wake_up.set)

    def try_append(self, frame: bytes) -> bool:
        """Append a frame; return False if the queue is full."""
        if (
            len(self._frames) >= MAX_QUEUED_FRAMES
            or self._size_bytes + len(frame) > MAX_QUEUED_BYTES
        ):
            return False
        self._frames.append(frame)
        self._size_bytes += len(frame)
        self._wake_up.set()
        return True

    async def wait_for_frame(self) -> bool:
        """Wait until a frame is queued; return False if the idle limit passes first."""
        self.idle.restart()
        if not self._frames:
            self._wake_up.clear()
            await self._wake_up.wait()
        return bool(self._frames)

    def take_batch(self, limit_bytes: int) -> list[bytes]:
        """Remove and return the next frames.

        The last frame may exceed ``limit_bytes``, so that a larger frame is sent too.
        """
        batch = []
        size_bytes = 0
        while self._frames and size_bytes < limit_bytes:
            frame = self._frames.popleft()
            size_bytes += len(frame)
            batch.append(frame)
        self._size_bytes -= size_bytes
        return batch

    def clear(self) -> int:
        """Drop all frames and return their number."""
        count = len(self._frames)
        self._frames.clear()
        self._size_bytes = 0
        return count


class _FrameWriter:
    """Numbers and signs the frames of an outgoing stream."""

    def __init__(self, keys, stream: IOStream, nonce: bytes, address: Address):
        self.stream = stream
        self.address = address
        self._keys = keys
        self._signed_prefix = _make_signed_prefix(nonce, address)
        self._next_frame_number = 0
        self._unsent_parts = []

    def add_frame(self, frame: bytes) -> None:
        """Sign a frame and add it to the next write."""
        signed_data = (
            self._signed_prefix + _FRAME_NUMBER.pack(self._next_frame_number) + frame
        )
        self._next_frame_number += 1
        self._unsent_parts.append(
            _FRAME_HEADER.pack(len(frame), sign(self._keys, signed_data))
        )
        self._unsent_parts.append(frame)

    def write_frames(self, frames: list[bytes]):
        """Write the frames and return a future that ends when they are written."""
        for frame in frames:
            self.add_frame(frame)
        data = b"".join(self._unsent_parts)
        self._unsent_parts = []
        return self.stream.write(data)


class _FrameReader:
    """Splits an incoming stream into frames and verifies their digests."""

    def __init__(self, keys, nonce: bytes, address: Address):
        self.is_authenticated = False
        self._keys = keys
        self._signed_prefix = _make_signed_prefix(nonce, address)
        self._next_frame_number = 0
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield the frames that ``chunk`` completes.

        Raises ``MessageError`` for an invalid frame, after the valid frames before it
        in the same chunk have been yielded.
        """
        buffer = self._buffer
        buffer += chunk
        start = 0
        while len(buffer) - start >= _FRAME_HEADER.size:
            length, digest = _FRAME_HEADER.unpack_from(buffer, start)
            if length > (MAX_FRAME_BYTES if self.is_authenticated else 0):
                raise MessageError(f"frame of {length} bytes exceeds the size limit")
            end = start + _FRAME_HEADER.size + length
            if len(buffer) < end:
                break
            frame = bytes(buffer[start + _FRAME_HEADER.size : end])
            signed_data = (
                self._signed_prefix
                + _FRAME_NUMBER.pack(self._next_frame_number)
                + frame
            )
            if not verify(self._keys, digest, signed_data):
                raise MessageError("frame digest does not match")
            self._next_frame_number += 1
            if self.is_authenticated:
                yield frame
            self.is_authenticated = True
            start = end
        del buffer[:start]


def _make_signed_prefix(nonce: bytes, address: Address) -> bytes:
    # The accepting host's address prevents a relay attack: an attacker who passes on
    # the nonce of one host could otherwise forward frames meant for another to it.
    return b"frame" + nonce + str(address).encode() + b"\0"


def _set_stream_options(stream: IOStream) -> None:
    stream.set_nodelay(True)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        stream.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(WRITE_TIMEOUT_S * 1000)
        )
