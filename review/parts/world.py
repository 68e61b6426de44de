"""A small deployment on loopback addresses: store, hosts, backends and clients."""

import os
import random
import selectors
import socket
import tempfile
import time
import traceback
from collections.abc import Callable
from pathlib import Path

from .flows import Backend, Clients, Lifetime
from .hosts import Host, Ports, Routers
from .store import Store
from .wire import ip_number

HEARTBEAT_S = 1.2
COLD_S = 2.0
READY_TIMEOUT_S = 25.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
STABILITY_S = 4.0
# "A process that exits or is killed is restarted after a short delay."
RESTART_DELAY_S = 0.5
MIN_ANSWERED = 100


def is_troubled() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, for ``record.txt``."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._begun_s = time.monotonic()
        self.broken = 0

    def line(self, text: str) -> None:
        after_s = time.monotonic() - self._begun_s
        self._file.write(f"{after_s:8.3f} {text}\n")

    def broke(self, text: str) -> None:
        self.broken += 1
        self.line(f"BROKEN {text}")

    def close(self) -> None:
        self._file.close()


class World:
    """Everything of one run; ``close`` ends all processes."""

    def __init__(
        self,
        folder: Path,
        host_count: int,
        seed: int,
        replica_lags_s: tuple[float, ...] = (0.0,),
    ):
        random.seed(seed)
        self.record = Record(folder / "record.txt")
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _free_network()
        self.store = Store(f"{self.net}.5", replica_lags_s)
        self.ports = _free_ports([f"{self.net}.{n}" for n in (200, *range(10, 30))])
        self.zone = "zone-a"
        seeds = f"{self.net}.10:{self.ports.control}"
        self.hosts = [
            Host(
                f"{self.net}.{10 + number}",
                self.zone,
                self.ports,
                seeds,
                self.store.address,
                self.directory,
            )
            for number in range(host_count)
        ]
        self.routers = Routers(self.hosts)
        client_ip = f"{self.net}.200"
        self.client_socket = _udp_socket(client_ip, self.ports.data)
        self.clients = Clients(
            self.client_socket,
            ip_number(client_ip),
            self.ports.data,
            self.routers.route,
        )
        self._selector = selectors.DefaultSelector()
        self._selector.register(self.client_socket, selectors.EVENT_READ, None)
        self.backends: list[Backend] = []
        self._beat_at_s: dict[Backend, float] = {}
        # What each entry holds beside its ``sequence``.
        self._written: dict[str, dict] = {}
        self._actions: list = []
        self._version = 0

    def add_backend(self, service: str, work_s: float) -> Backend:
        sock = _udp_socket(f"{self.net}.100", 0)
        address = f"{self.net}.100:{sock.getsockname()[1]}"
        backend = Backend(sock, address, self.zone, work_s)
        backend.client_port = self.ports.data
        self.backends.append(backend)
        self._selector.register(sock, selectors.EVENT_READ, backend)
        self.start_backend(backend, service)
        return backend

    def start_backend(
        self, backend: Backend, service: str, number: int | None = None
    ) -> None:
        """Start a lifetime, with a new id or with ``number``, and register it."""
        number = number or random.randrange(1, 1 << 32)
        backend.life = Lifetime(number, service, int(time.time() * 1000))
        self.record.line(
            f"backend i-{number:x} starts, born {backend.life.born_ms}, {service}"
        )
        self.beat(backend)

    def beat(self, backend: Backend) -> None:
        """Check in: "The entry changes when more than `sequence` changes"."""
        key = f"servers/i-{backend.life.number:x}"
        entry = backend.entry(COLD_S)
        content = {**entry, "sequence": 0}
        if self._written.get(key) != content:
            self._written[key] = content
            self.store.put(key, entry)
        self._beat_at_s[backend] = time.monotonic() + HEARTBEAT_S * random.uniform(
            0.9, 1.1
        )

    def hold_beats(self, backend: Backend, silence_s: float) -> None:
        """Let a backend check in again only after some time."""
        self._beat_at_s[backend] = time.monotonic() + silence_s

    def drain(self, backend: Backend) -> None:
        backend.life.state = "draining"
        self.beat(backend)
        backend.life.draining_ack_s = time.monotonic()
        self.record.line(f"backend i-{backend.life.number:x} draining, acknowledged")

    def end(self, backend: Backend) -> None:
        """The backend has left: its entry is removed with its end."""
        backend.life.is_alive = False
        self.expire(f"servers/i-{backend.life.number:x}")
        self.record.line(
            f"backend i-{backend.life.number:x} ended and removed, "
            f"{backend.life.runs} requests run"
        )

    def expire(self, key: str) -> None:
        """The store removes an entry, if it is there."""
        if self._written.pop(key, None) is not None:
            self.store.remove(key)

    def put_config(self, routes: list[dict]) -> None:
        self._version += random.randint(1, 3)
        names = sorted({route["service"] for route in routes})
        self.store.put(
            "op/config",
            {
                "version": self._version,
                "routes": routes,
                "services": [
                    {"name": name, "health_path": "/health", "max_conns": 4500}
                    for name in names
                ],
                "limits": {"idle_timeout_ms": 15000},
            },
        )
        self.record.line(f"manifest {self._version} acknowledged: {routes}")

    def start(self) -> None:
        """Start all hosts, and return when all are ready."""
        for host in self.hosts:
            host.start()
        self.routers.start()
        end_s = time.monotonic() + READY_TIMEOUT_S
        while not all(host.is_ready for host in self.hosts):
            if time.monotonic() > end_s:
                raise NotReadyError(f"after {READY_TIMEOUT_S:g} s")
            self.turn()

    def after(self, delay_s: float, action) -> None:
        self._actions.append((time.monotonic() + delay_s, action))

    def turn(self) -> None:
        """Serve the sockets once, and do what is due."""
        for key, _ in self._selector.select(0.005):
            self._read(key)
        now_s = time.monotonic()
        for backend in self.backends:
            backend.step(now_s)
            life = backend.life
            if life is not None and life.is_alive and now_s >= self._beat_at_s[backend]:
                self.beat(backend)
        self.clients.step(now_s)
        due = [action for at_s, action in self._actions if at_s <= now_s]
        self._actions = [item for item in self._actions if item[0] > now_s]
        for action in due:
            action()
        self._start_ended_hosts()

    def play(
        self,
        length_s: float,
        flows_per_s: float,
        begin_flow: Callable[[int], None],
    ) -> None:
        """Run for a time; ``begin_flow`` gets the number of the flow to begin."""
        end_s = time.monotonic() + length_s
        next_flow_s, index = time.monotonic(), 0
        while time.monotonic() < end_s:
            self.turn()
            if time.monotonic() >= next_flow_s:
                next_flow_s += random.expovariate(flows_per_s)
                begin_flow(index)
                index += 1

    def _start_ended_hosts(self) -> None:
        for host in self.hosts:
            if host.note_end():
                last = (host.log_text().strip() or "no log").splitlines()[-1]
                self.record.line(f"{host.ip} has ended by itself: {last}")
                self.after(RESTART_DELAY_S, host.start)

    def _read(self, key) -> None:
        while True:
            try:
                data, (ip, _) = key.fileobj.recvfrom(4096)
            except BlockingIOError:
                return
            if key.data is None:
                self.clients.take(data, ip, time.monotonic())
            else:
                key.data.take(data, ip, time.monotonic())

    def close(self) -> None:
        self.routers.close()
        for host in self.hosts:
            host.close()
        self.store.close()
        runs = sum(backend.life.runs for backend in self.backends if backend.life)
        self.record.line(f"clients: {self.clients.counts}; runs at present: {runs}")
        self.record.line(f"calls to the store: {self.store.counts}")
        for host in self.hosts:
            self.record.line(f"{host.ip}: ended by itself {host.own_ends} times")
        self.record.close()


def run_case(
    case_file: str,
    play: Callable[[World], None],
    host_count: int,
    seed: int,
    replica_lags_s: tuple[float, ...] = (0.0,),
) -> int:
    """Run ``play`` in a new world; return the exit status of the case."""
    world = None
    try:
        world = World(Path(case_file).parent, host_count, seed, replica_lags_s)
        world.record.line(f"TROUBLE={int(is_troubled())}")
        play(world)
        if world.record.broken:
            return EXIT_BROKEN
        has_run = world.clients.counts["answered"] >= MIN_ANSWERED
        return EXIT_HELD if has_run else EXIT_NOT_RUN
    except Exception:
        traceback.print_exc()
        return EXIT_NOT_RUN
    finally:
        if world is not None:
            world.close()


class NotReadyError(Exception):
    """The hosts did not become ready in time."""


def route_to(ip: str, port: int, service: str) -> dict:
    return {
        "name": "r-1",
        "host": ip,
        "prefix": f"/{port}/",
        "type": "safe",
        "timeout_ms": 3000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def _free_network() -> str:
    """Return the first three octets of a loopback network that nobody uses."""
    rng = random.SystemRandom()
    return f"127.{rng.randrange(60, 250)}.{rng.randrange(1, 250)}"


def _free_ports(ips: list[str]) -> Ports:
    """Return three ports that are free at all of these addresses."""
    rng = random.SystemRandom()
    while True:
        data, ready, control = rng.sample(range(7000, 30000), 3)
        if all(
            _is_free(ip, socket.SOCK_DGRAM, data)
            and _is_free(ip, socket.SOCK_STREAM, ready)
            and _is_free(ip, socket.SOCK_STREAM, control)
            for ip in ips
        ):
            return Ports(data, ready, control)


def _is_free(ip: str, kind: int, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def _udp_socket(ip: str, port: int) -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    made.bind((ip, port))
    made.setblocking(False)
    return made
