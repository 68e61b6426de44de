"""A small deployment on loopback addresses: hosts, store, backends and clients."""

import asyncio
import os
import random
import signal
import tempfile
import time
from pathlib import Path

from .flows import Backend, Clients, Record, Router
from .hosts import DATA_PORT, READY_PORT, Host
from .store import Store

ZONE = "kl-central"
SERVICE = "dele69a"
OTHER_SERVICE = "xano55b"
SERVICE_ADDRESS = ("198.18.0.1", 443)
HEARTBEAT_S = 1.2
# All machines start within 0.3 s of each other.
START_SPREAD_S = 0.3
START_LIMIT_S = 20.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


def route(name: str, port: int, service: str = SERVICE, **changes) -> dict:
    return {
        "name": name,
        "host": SERVICE_ADDRESS[0],
        "prefix": f"/{port}/",
        "type": "unsafe",
        "timeout_ms": 1207,
        "target_latency_ms": 120,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }


def manifest(version: int, routes: list[dict], **service_changes) -> dict:
    services = [
        {
            "name": name,
            "health_path": "/health",
            "max_conns": 4500,
            "protocol": "h1",
            "tls": False,
            **service_changes,
        }
        for name in (SERVICE, OTHER_SERVICE)
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Deployment:
    """Hosts of one zone before a stand-in of the platform."""

    def __init__(
        self,
        case: Path,
        host_count: int,
        lag_s: float = 0.0,
        settings: dict[str, str] | None = None,
    ):
        # Scripts that run side by side use different networks.
        net = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 200 + 20}"
        self.net = net
        self.record = Record(str(case / "record.txt"))
        self.store = Store(lag_s)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        ips = [f"{net}.{10 + number}" for number in range(host_count)]
        self.hosts = [
            Host(ip, f"frontend-{ZONE}-{number}", ZONE, ips[:3], self.folder)
            for number, ip in enumerate(ips, start=1)
        ]
        self.router = Router(ips, READY_PORT)
        self.clients = Clients(f"{net}.200", DATA_PORT, self.router.choose)
        self.backends: list[Backend] = []
        self.on_run = lambda backend, request, opening: None
        self.store_address = ""
        # Fields of the settings that differ from the usual ones.
        self.settings = settings or {}
        self._numbers = iter(range(0x2A, 0xFFFF))
        self._tasks: set[asyncio.Task] = set()

    async def start(
        self, backend_count: int, routes: list[dict], **service_changes
    ) -> None:
        self.store_address = await self.store.start(f"{self.net}.5")
        self.store.put("op/config", manifest(4, routes, **service_changes))
        for _ in range(backend_count):
            await self.add_backend()
        await self.clients.start()
        self.spawn(self._beat())
        self.spawn(self.router.run())
        for host in self.hosts:
            host.write_settings(self.store_address, **self.settings)
            host.start()
            await asyncio.sleep(random.uniform(0.0, START_SPREAD_S / len(self.hosts)))
        end_s = time.monotonic() + START_LIMIT_S
        while len(self.router.in_rotation()) < len(self.hosts):
            if time.monotonic() > end_s:
                logs = "\n".join(host.log_tail(5) for host in self.hosts)
                raise NotRun(f"hosts did not become ready:\n{logs}")
            await asyncio.sleep(0.1)
        self.record.write(f"all {len(self.hosts)} hosts are ready")

    async def add_backend(self, service: str = SERVICE) -> Backend:
        backend = Backend(next(self._numbers), service, ZONE, DATA_PORT)
        backend.on_run = lambda *seen: self.on_run(*seen)
        # Nobody checks which address a backend has; it is unique by its port.
        await backend.listen(f"{self.net}.{100 + len(self.backends) % 90}")
        self.backends.append(backend)
        self.store.put(backend.key, backend.entry())
        self.record.write(f"{backend.backend_id} of {service} registers")
        return backend

    def drain(self, backend: Backend) -> float:
        """Report a backend as draining; return the time of the acknowledgement."""
        backend.state = "draining"
        backend.draining_at_s = self.store.put(backend.key, backend.entry())
        self.record.write(f"the store acknowledges that {backend.backend_id} drains")
        return backend.draining_at_s

    def leave(self, backend: Backend) -> None:
        backend.state = "gone"
        self.store.remove(backend.key)
        backend.close()
        self.record.write(f"{backend.backend_id} leaves")

    def spawn(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self, has_clients: bool = True) -> None:
        for task in list(self._tasks):
            task.cancel()
        for host in self.hosts:
            host.end()
        if has_clients:
            self.clients.close()
        for backend in self.backends:
            if backend.state != "gone":
                backend.close()
        self.record.close()
        self._temporary.cleanup()

    async def _beat(self) -> None:
        """Let each backend write its entry at the heartbeat, out of step."""
        next_s: dict[Backend, float] = {}
        while True:
            now_s = time.monotonic()
            for backend in self.backends:
                if backend.state == "gone" or backend.is_dark:
                    continue
                due_s = next_s.setdefault(
                    backend, now_s + random.uniform(0.0, HEARTBEAT_S)
                )
                if now_s >= due_s:
                    next_s[backend] = now_s + HEARTBEAT_S
                    self.store.put(backend.key, backend.entry())
            await asyncio.sleep(0.02)


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play, case: Path) -> int:
    """Run ``play(case)``, which returns whether the rule was broken."""
    # Host processes inherit an ignored signal, as from a caller that nohup started.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    # The default would leave the host processes behind.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        is_broken = asyncio.run(play(case))
    except KeyboardInterrupt:
        print("not run: ended by a signal")
        return EXIT_NOT_RUN
    except (NotRun, OSError) as error:
        print(f"not run: {error}")
        return EXIT_NOT_RUN
    print("the rule was broken" if is_broken else "the rule held")
    return EXIT_BROKEN if is_broken else EXIT_HELD
