"""The link of one machine to the store, which can be cut and heals again."""

import asyncio
import contextlib

# A connection attempt whose opening packet is lost is repeated after these times.
CONNECT_RETRIES_S = (1.0, 3.0, 7.0)
POLL_S = 0.01


class Link:
    """Passes connections on to the store.

    While it is cut with ``resets``, connections are reset. While it is cut silently,
    bytes are held up, and a connection attempt succeeds with its first repeat after the
    end of the cut.
    """

    def __init__(self, target: str):
        ip, _, port = target.rpartition(":")
        self._target = ip, int(port)
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_cut = False
        self._resets = False
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._connected, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self, resets: bool) -> None:
        self._is_cut, self._resets = True, resets
        if resets:
            for writer in self._writers:
                writer.transport.abort()

    def heal(self) -> None:
        self._is_cut = False

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut and self._resets:
            writer.transport.abort()
            return
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._wait_for_connection()
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            self._writers.add(far_writer)
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        writer.transport.abort()
        self._writers.discard(writer)

    async def _wait_for_connection(self) -> None:
        waited_s = 0.0
        for retry_s in CONNECT_RETRIES_S:
            if not self._is_cut:
                return
            await asyncio.sleep(retry_s - waited_s)
            waited_s = retry_s

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                while self._is_cut:
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        finally:
            writer.transport.abort()
