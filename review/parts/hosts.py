"""Host processes as the deploy file starts them, and the routers before them."""

import http.client
import os
import signal
import subprocess
import threading
import time
from pathlib import Path

from .wire import Packet

ROOT = Path(__file__).resolve().parents[2]
RUN = ["python3", "-S", "deploy/host.py"]
PROBE_INTERVAL_S = 0.5
MISSES_UNTIL_OUT = 2


class Ports:
    """The ports of a day, which are the same on all machines."""

    def __init__(self, data: int, ready: int, control: int):
        self.data, self.ready, self.control = data, ready, control


class Host:
    """One machine with one process."""

    def __init__(
        self, ip: str, zone: str, ports: Ports, seeds: str, store: str, directory: Path
    ):
        self.ip = ip
        self._ports = ports
        self._log_path = directory / f"{ip}.log"
        self._settings_path = directory / f"{ip}.conf"
        fields = {
            "node_name": f"frontend-{zone}-{ip}",
            "role": "steering",
            "machine_class": "frontend",
            "serves": "frontend,control_plane",
            "ip": ip,
            "zone": zone,
            "region": "region-1",
            f"zones.{zone}": "region-1",
            "listen_addrs.datagram_addr": f"{ip}:{ports.data}",
            "listen_addrs.ready_addr": f"{ip}:{ports.ready}",
            "listen_addrs.control": f"{ip}:{ports.control}",
            "seeds": seeds,
            "bootstrap": "true",
            "discovery": "platform",
            "entry_mode": "announce",
            "heartbeat_ms": "1200",
            "policies": "base,drain,config,cost,recover,flows,platform",
            "bounds.addr_reuse_s": "2",
            "bounds.stability_ms": "4000",
            "bounds.drain_timeout_ms": "3000",
            "bounds.grace_s": "6",
            "bounds.config_apply_ms": "3000",
            "bounds.rollback_slack_ms": "250",
            "bounds.flow_reorder_ms": "2000",
            "bounds.flow_ttl_s": "60",
            "hash_algo": "mod",
            "forward_mode": "echo",
            "platform.address": store,
            "platform.forward_mode": "kv",
            "platform.value_bytes": "1048576",
        }
        lines = [f"{name}={value}\n" for name, value in fields.items()]
        self._settings_path.write_text("".join(lines))
        self._process: subprocess.Popen | None = None
        # When anything was last done to the process.
        self.disturbed_at_s = time.monotonic()
        self.own_ends = 0
        self._is_stopping = False
        self.is_ready = False
        self._misses = MISSES_UNTIL_OUT

    def start(self) -> None:
        self.disturbed_at_s = time.monotonic()
        self._is_stopping = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["WISTERIATILLER_CONFIG"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    def terminate(self) -> None:
        self.disturbed_at_s = time.monotonic()
        self._is_stopping = True
        self._process.send_signal(signal.SIGTERM)

    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def note_end(self) -> bool:
        """Whether the process has ended by itself since the last call."""
        if self._process is None or self._is_stopping or self.is_running():
            return False
        self.own_ends += 1
        self._process = None
        return True

    def is_settled(self, stability_s: float) -> bool:
        return (
            self.is_running() and time.monotonic() - self.disturbed_at_s > stability_s
        )

    def close(self) -> None:
        if self.is_running():
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def probe(self) -> None:
        """Ask once whether the host is ready, as the platform does."""
        connection = http.client.HTTPConnection(self.ip, self._ports.ready, timeout=0.4)
        try:
            connection.request("GET", "/ready", headers=self.probe_headers())
            is_ready = connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            is_ready = False
        finally:
            connection.close()
        self._misses = 0 if is_ready else self._misses + 1
        if is_ready:
            self.is_ready = True
        elif self._misses >= MISSES_UNTIL_OUT:
            self.is_ready = False

    def probe_headers(self) -> dict[str, str]:
        return {}

    def log_text(self) -> str:
        return self._log_path.read_text(errors="replace")


class Routers:
    """Probe the hosts, and choose one for each packet by a hash of its addresses."""

    def __init__(self, hosts: list[Host]):
        self.hosts = hosts
        self._is_open = True
        self._threads = [
            threading.Thread(target=self._probe, args=(host,), daemon=True)
            for host in hosts
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def route(self, packet: Packet) -> Host:
        in_rotation = [host for host in self.hosts if host.is_ready]
        if 2 * len(in_rotation) < len(self.hosts):
            in_rotation = self.hosts
        number = hash((packet.source, packet.target))
        return in_rotation[number % len(in_rotation)]

    def by_ip(self, ip: str) -> Host | None:
        return next((host for host in self.hosts if host.ip == ip), None)

    def close(self) -> None:
        self._is_open = False
        for thread in self._threads:
            thread.join()

    def _probe(self, host: Host) -> None:
        while self._is_open:
            host.probe()
            time.sleep(PROBE_INTERVAL_S)
