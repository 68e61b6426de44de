"""Messages between hosts over TCP, with one outgoing stream for each peer.

On a stream, the acceptor first sends a random nonce. The connector then sends frames
as ``length, digest, frame``. The digest covers the nonce, the address of the acceptor
and a counter, so a frame is valid once, at one place of one connection. The first
frame is empty: it proves that the connector has the key before the acceptor buffers
anything for it. Replies use the replier's own stream.
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
# The acceptor waits longer than the connector, so that a stream is normally closed
# by the side that knows whether it has something to send.
ACCEPTED_IDLE_CLOSE_S = 90.0
# An unacknowledged write on a stream to a dead or frozen host ends the stream.
WRITE_TIMEOUT_S = 5.0

_HEADER = struct.Struct(f"!I{DIGEST_BYTES}s")
_COUNTER = struct.Struct("!Q")

AddressLookup = Callable[[HostId], Address | None]


class TcpPeerMessenger(BasePeerMessenger):
    """Messages over TCP streams, one outgoing stream and task for each peer.

    ``address_of`` looks up where a host listens. It may be replaced after
    construction, since membership is built from the environment that holds this
    object::

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
        # A random first id keeps a late reply to a former process of this host from
        # matching a call of this one.
        super().__init__(settings.host_id, metrics, secrets.randbits(48) + 1)
        if not settings.peer_keys:
            raise ValueError("settings name no peer key")
        self.address_of = address_of
        self._keys = settings.peer_keys
        self._listen = settings.peer_listen
        self._outgoing: dict[HostId, _Outgoing] = {}
        self._server = _Server(self._accept)
        self._accepted: set[IOStream] = set()
        self.address = settings.peer_listen

    async def start(self) -> None:
        """Listen for the streams of other hosts."""
        sockets = bind_sockets(self._listen.port, self._listen.ip, backlog=1024)
        self.address = Address(*sockets[0].getsockname()[:2])
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening and close every stream."""
        self._server.stop()
        for outgoing in self._outgoing.values():
            outgoing.task.cancel()
        for stream in tuple(self._accepted):
            stream.close()

    def _transmit(self, host_id, frame):
        outgoing = self._outgoing.get(host_id)
        if outgoing is None:
            outgoing = self._outgoing[host_id] = _Outgoing()
            outgoing.task = spawn(
                self._run_outgoing(host_id, outgoing), f"stream to {host_id}"
            )
        if not outgoing.put(frame):
            self._metrics.count("peers.dropped_queue_full")

    async def _run_outgoing(self, host_id: HostId, outgoing: "_Outgoing") -> None:
        """Send the queued frames until nothing is queued for the idle limit."""
        try:
            while await outgoing.wait():
                connection = await self._connect(host_id)
                if connection is None:
                    self._metrics.count("peers.dropped_unreachable", outgoing.clear())
                    await asyncio.sleep(RECONNECT_DELAY_S)
                    continue
                try:
                    await self._send_queued(host_id, outgoing, connection)
                except (StreamClosedError, TimeoutError):
                    self._metrics.count("peers.streams_broken")
                finally:
                    connection.stream.close()
        finally:
            outgoing.idle.cancel()
            del self._outgoing[host_id]

    async def _connect(self, host_id: HostId) -> "_Connection | None":
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
        # With a close callback, tornado watches an idle stream and notices at once
        # that the peer closed it.
        stream.set_close_callback(lambda: None)
        connection = _Connection(self._keys, stream, nonce, address)
        connection.pack(b"")
        return connection

    async def _send_queued(
        self, host_id: HostId, outgoing: "_Outgoing", connection: "_Connection"
    ) -> None:
        while await outgoing.wait():
            if connection.stream.closed():
                return
            if self.address_of(host_id) != connection.address:
                return
            written = connection.write(outgoing.take(MAX_BATCH_BYTES))
            if not written.done():
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await written

    async def _accept(self, stream: IOStream) -> None:
        """Read the frames of one incoming stream until it ends."""
        self._accepted.add(stream)
        idle = None
        try:
            _set_stream_options(stream)
            nonce = secrets.token_bytes(NONCE_BYTES)
            local = Address(*stream.socket.getsockname()[:2])
            reader = _FrameReader(self._keys, nonce, local)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.write(nonce)
                while not reader.proven:
                    chunk = await stream.read_bytes(READ_BYTES, partial=True)
                    self._receive_all(reader.feed(chunk))
            idle = _IdleTimer(ACCEPTED_IDLE_CLOSE_S, stream.close)
            while True:
                chunk = await stream.read_bytes(READ_BYTES, partial=True)
                idle.touch()
                self._receive_all(reader.feed(chunk))
        except (StreamClosedError, TimeoutError, OSError):
            pass
        except MessageError as error:
            self._metrics.count("peers.dropped_bad_frame")
            log_event_limited("stream_refused", level="warning", detail=error)
        finally:
            stream.close()
            self._accepted.discard(stream)
            if idle is not None:
                idle.cancel()

    def _receive_all(self, frames: Iterable[bytes]) -> None:
        for frame in frames:
            self._receive(frame)


class _Server(TCPServer):
    def __init__(self, accept):
        super().__init__(max_buffer_size=4 * READ_BYTES)
        self._accept = accept

    async def handle_stream(self, stream, address):
        await self._accept(stream)


class _IdleTimer:
    """Calls ``expire`` once nothing has touched it for ``limit_s``.

    Touching only notes the time; the timer moves itself when it is due. A new timer
    for each frame would cost more than sending the frame.
    """

    def __init__(self, limit_s: float, expire: Callable[[], None]):
        self._limit_s = limit_s
        self._expire = expire
        self._loop = asyncio.get_running_loop()
        self._touched_s = self._loop.time()
        self._timer = self._loop.call_later(limit_s, self._check)

    def touch(self) -> None:
        self._touched_s = self._loop.time()

    def cancel(self) -> None:
        self._timer.cancel()

    def _check(self) -> None:
        due_s = self._touched_s + self._limit_s
        if self._loop.time() >= due_s:
            self._expire()
            due_s = self._loop.time() + self._limit_s
        self._timer = self._loop.call_at(due_s, self._check)


class _Outgoing:
    """The bounded queue of frames for one peer."""

    def __init__(self):
        self.task: asyncio.Task | None = None
        self._frames: deque[bytes] = deque()
        self._size_bytes = 0
        self._filled = asyncio.Event()
        self.idle = _IdleTimer(IDLE_CLOSE_S, self._filled.set)

    def put(self, frame: bytes) -> bool:
        """Queue a frame; False if the queue is full."""
        if (
            len(self._frames) >= MAX_QUEUED_FRAMES
            or self._size_bytes + len(frame) > MAX_QUEUED_BYTES
        ):
            return False
        self._frames.append(frame)
        self._size_bytes += len(frame)
        self._filled.set()
        return True

    async def wait(self) -> bool:
        """Wait for a frame; False if none came within the idle limit."""
        self.idle.touch()
        if not self._frames:
            self._filled.clear()
            await self._filled.wait()
        return bool(self._frames)

    def take(self, limit_bytes: int) -> list[bytes]:
        """Take the next frames, at least one, up to about ``limit_bytes``."""
        taken = []
        size_bytes = 0
        while self._frames and size_bytes < limit_bytes:
            frame = self._frames.popleft()
            size_bytes += len(frame)
            taken.append(frame)
        self._size_bytes -= size_bytes
        return taken

    def clear(self) -> int:
        """Drop all frames and return how many there were."""
        count = len(self._frames)
        self._frames.clear()
        self._size_bytes = 0
        return count


class _Connection:
    """The sending end of a stream."""

    def __init__(self, keys, stream: IOStream, nonce: bytes, address: Address):
        self.stream = stream
        self.address = address
        self._keys = keys
        self._prefix = _digest_prefix(nonce, address)
        self._counter = 0
        self._parts = []

    def pack(self, frame: bytes) -> None:
        """Add a frame to the next write."""
        covered = self._prefix + _COUNTER.pack(self._counter) + frame
        self._counter += 1
        self._parts.append(_HEADER.pack(len(frame), sign(self._keys, covered)))
        self._parts.append(frame)

    def write(self, frames: list[bytes]):
        for frame in frames:
            self.pack(frame)
        data = b"".join(self._parts)
        self._parts = []
        return self.stream.write(data)


class _FrameReader:
    """Splits and checks the bytes of an incoming stream."""

    def __init__(self, keys, nonce: bytes, address: Address):
        self.proven = False
        self._keys = keys
        self._prefix = _digest_prefix(nonce, address)
        self._counter = 0
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield the whole frames up to ``chunk``; raise ``MessageError`` for a bad one.

        Frames before a bad one are valid, also if they arrive in the same chunk.
        """
        buffer = self._buffer
        buffer += chunk
        start = 0
        while len(buffer) - start >= _HEADER.size:
            length, digest = _HEADER.unpack_from(buffer, start)
            if length > (MAX_FRAME_BYTES if self.proven else 0):
                raise MessageError(f"frame of {length} bytes is too long")
            end = start + _HEADER.size + length
            if len(buffer) < end:
                break
            frame = bytes(buffer[start + _HEADER.size : end])
            covered = self._prefix + _COUNTER.pack(self._counter) + frame
            if not verify(self._keys, digest, covered):
                raise MessageError("frame with a wrong digest")
            self._counter += 1
            if self.proven:
                yield frame
            self.proven = True
            start = end
        del buffer[:start]


def _digest_prefix(nonce: bytes, address: Address) -> bytes:
    # The acceptor's address stops a relay from presenting frames that were meant
    # for one host to another, whose nonce it passed on.
    return b"frame" + nonce + str(address).encode() + b"\0"


def _set_stream_options(stream: IOStream) -> None:
    stream.set_nodelay(True)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        stream.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(WRITE_TIMEOUT_S * 1000)
        )
