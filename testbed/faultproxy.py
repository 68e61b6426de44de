"""A TCP proxy on loopback that delays, resets, cuts, silences or stalls what passes.

Each host gets one in front of the store, so that a fault meets one host alone::

    proxy = FaultProxy("127.20.0.10", store_address)
    proxy.mode = LinkMode.SILENT
"""

import asyncio
import contextlib
import threading
from enum import Enum

READ_BYTES = 65_536
DELAY_S = 0.3
POLL_S = 0.02


class LinkMode(Enum):
    """What the link does to connections and bytes."""

    CLEAR = "clear"
    SLOW = "slow"
    # Bytes towards the store arrive, answers do not.
    ONE_WAY = "one_way"
    SILENT = "silent"
    RESET = "reset"


class FaultProxy:
    """Listens on ``ip`` and passes connections on to ``target``, as ``mode`` says."""

    def __init__(self, ip: str, target: str):
        self.mode = LinkMode.CLEAR
        self._target_ip, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._loop = asyncio.new_event_loop()
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections are numbered; those up to a number bring nothing further.
        self._connections = 0
        self._stalled_up_to = 0
        started = threading.Event()
        self._thread = threading.Thread(
            target=self._serve, args=(ip, started), daemon=True
        )
        self._thread.start()
        started.wait()

    def stall(self) -> None:
        """Let the open connections fall silent for good; new ones work."""
        self._stalled_up_to = self._connections

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _serve(self, ip: str, started: threading.Event) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._connected, ip, 0)
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        started.set()
        self._loop.run_forever()
        server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is LinkMode.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target_ip, self._target_port
            )
        except OSError:
            # What stands behind the proxy is gone, and the host sees it so.
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        self._connections += 1
        number = self._connections
        # Either end may close a connection at any time.
        with contextlib.suppress(ConnectionError):
            await asyncio.gather(
                self._pump(reader, far_writer, number, is_answer=False),
                self._pump(far_reader, writer, number, is_answer=True),
            )
        self._writers -= {writer, far_writer}
        writer.transport.abort()
        far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
        is_answer: bool,
    ) -> None:
        """Pass bytes on until an end closes; a reset ends the other direction too."""
        while True:
            data = await reader.read(READ_BYTES)
            if not data:
                raise ConnectionResetError("an end closed the connection")
            if not await self._pass(is_answer) or number <= self._stalled_up_to:
                continue
            writer.write(data)
            await writer.drain()

    async def _pass(self, is_answer: bool) -> bool:
        """Wait as the mode says; False if the bytes are lost."""
        if self.mode is LinkMode.SLOW:
            await asyncio.sleep(DELAY_S)
        if self.mode is LinkMode.ONE_WAY and is_answer:
            return False
        while self.mode is LinkMode.SILENT:
            await asyncio.sleep(POLL_S)
        if self.mode is LinkMode.RESET:
            raise ConnectionResetError("the link resets connections")
        return True
