"""Machines that run a host with the command of the deploy file."""

import asyncio
import os
import subprocess
import time
import tomllib
from pathlib import Path

from .link import Link

ROOT = Path(__file__).resolve().parents[2]
DATA_PORT, READY_PORT, CONTROL_PORT = 8172, 8167, 8166
PROBE_INTERVAL_S = 0.5
MISSES_UNTIL_OUT = 2


def deploy_command() -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["steering"]["run"].split()


def settings_text(ip: str, zone: str, store: str, seeds: str, **changes: str) -> str:
    """The settings of a machine; the bounds are those of the Quimper sheet."""
    fields = {
        "node_name": f"frontend-{ip}",
        "role": "steering",
        "machine_class": "frontend",
        "serves": "frontend,control_plane",
        "ip": ip,
        "zone": zone,
        "region": "region-1",
        "listen_addrs.datagram_addr": f"{ip}:{DATA_PORT}",
        "listen_addrs.ready_addr": f"{ip}:{READY_PORT}",
        "listen_addrs.control": f"{ip}:{CONTROL_PORT}",
        "internal_ports": "7720,7735",
        "seeds": seeds,
        "bootstrap": "true",
        "heartbeat_ms": "1200",
        "policies": "base,drain,config,cost,recover,flows,platform",
        "bounds.stability_ms": "4000",
        "bounds.drain_timeout_ms": "3000",
        "bounds.config_apply_ms": "3000",
        "bounds.grace_s": "6",
        "bounds.flow_ttl_s": "60",
        "hash_algo": "mod",
        "forward_mode": "echo",
        "platform.address": store,
        "platform.forward_mode": "kv",
        "platform.value_bytes": "1048576",
    }
    fields |= {name.replace("__", "."): value for name, value in changes.items()}
    return "".join(f"{name}={value}\n" for name, value in fields.items())


class Machine:
    """One machine: its process, its link to the store and its place in the rotation."""

    def __init__(self, ip: str, zone: str, folder: Path):
        self.ip, self.zone = ip, zone
        self.is_ready = False
        self.link: Link | None = None
        self.log_path = folder / f"{ip}.log"
        self._settings_path = folder / f"{ip}.conf"
        self._process: subprocess.Popen | None = None

    async def prepare(self, store: str, seeds: str, **changes: str) -> None:
        self.link = Link(store)
        await self.link.start(self.ip)
        text = settings_text(self.ip, self.zone, self.link.address, seeds, **changes)
        self._settings_path.write_text(text)

    def start(self) -> None:
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                deploy_command(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "WISTERIATILLER_CONFIG": str(self._settings_path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        return None if self._process is None else self._process.poll()

    def send_signal(self, number: int) -> None:
        if self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def probe_repeatedly(self) -> None:
        """Take the machine out of rotation after two misses, as the routers do."""
        misses = MISSES_UNTIL_OUT
        while True:
            began_s = time.monotonic()
            misses = 0 if await self._probe() else misses + 1
            if misses in (0, MISSES_UNTIL_OUT):
                self.is_ready = misses == 0
            await asyncio.sleep(
                max(0.0, PROBE_INTERVAL_S - (time.monotonic() - began_s))
            )

    async def _probe(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: machine\r\n\r\n")
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()
