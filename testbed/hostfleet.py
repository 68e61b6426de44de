"""Real host processes behind fault proxies, and a router that knows which are ready."""

import os
import random
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from pathlib import Path

from .faultproxy import FaultProxy, LinkMode
from .platformstandin import settings_text

ROOT = Path(__file__).resolve().parent.parent
DATA_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
MISSES_UNTIL_OUT = 2


class FleetHost:
    """One host: its process, its link to the store, and when it was last disturbed."""

    def __init__(self, ip: str, zone: str, seeds: str, store: str, directory: Path):
        self.ip = ip
        self.proxy = FaultProxy(ip, store)
        self.disturbed_at_s = time.monotonic()
        self.lifetime = 0
        self.is_ready = False
        self._misses = 0
        self._log_path = directory / f"{ip}.log"
        self._settings_path = directory / f"{ip}.conf"
        self._settings = {
            "zone": zone,
            "node_name": f"host-{ip}",
            "seeds": seeds,
            "bounds__evacuate_ms": "5000",
        }
        self.write_settings()
        self._process: subprocess.Popen | None = None

    def write_settings(self) -> None:
        text = settings_text(self.ip, self.proxy.address, **self._settings)
        self._settings_path.write_text(text)

    def start(self) -> None:
        self.disturbed()
        self.lifetime += 1
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-S", str(ROOT / "deploy" / "host.py")],
                cwd=ROOT,
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join(map(str, sys.path)),
                    "WISTERIATILLER_CONFIG": str(self._settings_path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        self.disturbed()
        if self.is_running():
            self._process.send_signal(number)

    def set_link(self, mode: LinkMode) -> None:
        self.disturbed()
        self.proxy.mode = mode

    def stall(self) -> None:
        self.disturbed()
        self.proxy.stall()

    def disturbed(self) -> None:
        self.disturbed_at_s = time.monotonic()

    def exit_status(self) -> int | None:
        return None if self._process is None else self._process.poll()

    def close(self) -> None:
        if self.is_running():
            self._process.kill()
        if self._process is not None:
            self._process.wait()
        self.proxy.close()

    def probe(self) -> None:
        """Ask once whether the host is ready, as the platform's routers do."""
        url = f"http://{self.ip}:{READY_PORT}/ready"
        try:
            with urllib.request.urlopen(url, timeout=PROBE_TIMEOUT_S) as response:
                is_ready = response.status == 200
        except (urllib.error.URLError, OSError):
            is_ready = False
        self._misses = 0 if is_ready else self._misses + 1
        if self._misses in (0, MISSES_UNTIL_OUT):
            self.is_ready = is_ready


class HostFleet:
    """Some hosts in two zones that share one seed."""

    def __init__(self, net: str, count: int, store: str, directory: Path):
        seeds = f"{net}.10:{CONTROL_PORT}"
        self.hosts = [
            FleetHost(
                f"{net}.{10 + number}",
                f"zone-{'ab'[number % 2]}",
                seeds,
                store,
                directory,
            )
            for number in range(count)
        ]
        self._is_open = True
        for host in self.hosts:
            host.start()
        self._probers = [
            threading.Thread(target=self._probe, args=(host,), daemon=True)
            for host in self.hosts
        ]
        for prober in self._probers:
            prober.start()

    def route(self, rng: random.Random) -> FleetHost:
        """Any host in rotation; with none, any host at all."""
        ready = [host for host in self.hosts if host.is_ready]
        return rng.choice(ready or self.hosts)

    def by_ip(self, ip: str) -> FleetHost:
        return next(host for host in self.hosts if host.ip == ip)

    def close(self) -> None:
        self._is_open = False
        for prober in self._probers:
            prober.join()
        for host in self.hosts:
            host.close()

    def _probe(self, host: FleetHost) -> None:
        while self._is_open:
            host.probe()
            time.sleep(PROBE_INTERVAL_S)
