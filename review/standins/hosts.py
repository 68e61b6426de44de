"""Host processes, started as the deploy file says, and the signals that reach them."""

import os
import shlex
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DATA_PORT, READY_PORT, CONTROL_PORT = 8172, 8167, 8166
KEPT_VARIABLES = ("PATH", "HOME", "LANG")


def run_command() -> list[str]:
    """The command of the role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    return shlex.split(role["run"])


class Host:
    """One machine: its settings file and its process."""

    def __init__(self, ip: str, name: str, zone: str, seeds: list[str], folder: Path):
        self.ip = ip
        self.name = name
        self._zone = zone
        self._seeds = seeds
        self._folder = folder
        self._process: subprocess.Popen | None = None

    @property
    def settings_path(self) -> Path:
        return self._folder / f"{self.name}.conf"

    def write_settings(self, store: str, **changes: str) -> None:
        fields = {
            "node_name": self.name,
            "role": "steering",
            "machine_class": "frontend",
            "serves": "frontend,control_plane",
            "ip": self.ip,
            "zone": self._zone,
            "region": "klang-valley",
            f"zones.{self._zone}": "klang-valley",
            "listen_addrs.datagram_addr": f"{self.ip}:{DATA_PORT}",
            "listen_addrs.ready_addr": f"{self.ip}:{READY_PORT}",
            "listen_addrs.control": f"{self.ip}:{CONTROL_PORT}",
            "internal_ports": "7720,7735",
            "seeds": ",".join(f"{ip}:{CONTROL_PORT}" for ip in self._seeds),
            "bootstrap": "true",
            "counts_as_loss": "false",
            "limits.cpu_share": "0.731",
            "limits.memory_mb": "222",
            "limits.max_fds": "1535",
            "discovery": "platform",
            "entry_mode": "announce",
            "heartbeat_ms": "1200",
            "policies": "base,drain,config,cost,recover,flows,platform",
            "bounds.seed_lag_s": "3",
            "bounds.addr_reuse_s": "2",
            "bounds.stability_ms": "4000",
            "bounds.drain_timeout_ms": "3000",
            "bounds.grace_s": "6",
            "bounds.config_apply_ms": "3000",
            "bounds.rollback_slack_ms": "250",
            "bounds.max_stretch_ms": "12000",
            "bounds.recovery_s": "12",
            "bounds.flow_reorder_ms": "2000",
            "bounds.flow_ttl_s": "60",
            "hash_algo": "mod",
            "forward_mode": "echo",
            "platform.address": store,
            "platform.forward_mode": "kv",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.ttl_min_ms": "1000",
            **changes,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self.settings_path.write_text(text)

    def start(self) -> None:
        kept = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                run_command(),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "WISTERIATILLER_CONFIG": str(self.settings_path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.exit_status() is None:
            self._process.send_signal(number)

    def exit_status(self) -> int | None:
        return None if self._process is None else self._process.poll()

    def has_bound_data_socket(self) -> bool:
        """Whether the process runs and some socket has its address for packets."""
        # The kernel shows an address as the hexadecimal digits of its bytes in memory.
        number = int.from_bytes(socket.inet_aton(self.ip), sys.byteorder)
        shown = f"{number:08X}:{DATA_PORT:04X}"
        is_bound = shown in Path("/proc/net/udp").read_text()
        return is_bound and self.exit_status() is None

    def log_tail(self, lines: int = 20) -> str:
        path = self._folder / f"{self.name}.log"
        return "\n".join(path.read_text(errors="replace").splitlines()[-lines:])

    def log_text(self) -> str:
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def end(self) -> None:
        """End the process at once, whatever its state."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
