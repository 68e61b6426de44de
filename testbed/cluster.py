"""A whole cluster of operating-system processes on loopback addresses.

The demo and the process-level tests start the stand-ins and the balancers with it.
Each process is ended by its own id::

    with Cluster(directory, both_users(subnet), subnet) as cluster:
        cluster.start()
        cluster.submit(cluster.deployment)
"""

import json
import os
import re
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from .deployments import Deployment

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 30.0
POLL_S = 0.05
HTTP_TIMEOUT_S = 10.0
PEER_KEY = "5a" * 32


class ClusterError(Exception):
    """A process did not start, stop or answer as expected."""


def free_subnet() -> str:
    """A part of 127.0.0.0/8 that other clusters on the machine hardly use."""
    return f"127.{20 + os.getpid() % 200}"


def wait_until(condition: Callable[[], object], timeout_s: float, what: str):
    """Poll until ``condition`` returns a true value, and return that value."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > deadline:
            raise ClusterError(f"timed out after {timeout_s:g} s waiting for {what}")
        time.sleep(POLL_S)


def http(url: str, body: object = None, method: str | None = None):
    """GET ``url``, or PUT ``body`` to it as JSON; returns the decoded JSON."""
    data = None if body is None else json.dumps(body).encode()
    method = method or ("GET" if data is None else "PUT")
    request = urllib.request.Request(url, data, method=method)
    request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as response:
        content = response.read()
    return json.loads(content) if content else None


def http_or_none(url: str):
    """GET ``url``; None if nothing answers there."""
    try:
        return http(url)
    except (OSError, ValueError):
        return None


@dataclass
class Balancer:
    """The addresses of one balancer process."""

    host_id: str
    zone: str
    ip: str

    def host_entry(self, state: str) -> dict:
        """Its entry in the platform's host list."""
        return {
            "host_id": self.host_id,
            "zone": self.zone,
            "fabric": f"{self.ip}:6000",
            "peer": f"{self.ip}:6002",
            "admin": f"{self.ip}:6003",
            "state": state,
        }

    @property
    def admin_url(self) -> str:
        return f"http://{self.ip}:6003"


class ProcessGroup:
    """Named child processes with their logs in one directory."""

    def __init__(self, directory: Path):
        self.directory = directory
        self.processes: dict[str, subprocess.Popen] = {}

    def start(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        environment = dict(os.environ)
        environment["PYTHONPATH"] = os.pathsep.join((str(ROOT / "src"), str(ROOT)))
        with (self.directory / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=self.directory,
                env=environment,
            )
        self.processes[name] = process
        return process

    def check_running(self, name: str) -> None:
        code = self.processes[name].poll()
        if code is not None:
            raise ClusterError(f"{name} exited with {code}:\n{self.log(name)}")

    def log(self, name: str, size_bytes: int = 2000) -> str:
        path = self.directory / f"{name}.log"
        return path.read_text("utf-8", "replace")[-size_bytes:] if path.exists() else ""

    def signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    def wait_exit(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end by itself and return its exit status."""
        try:
            code = self.processes[name].wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            message = f"{name} still runs after {timeout_s:g} s:\n{self.log(name)}"
            raise ClusterError(message) from error
        del self.processes[name]
        return code

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        self.wait_exit(name)

    def kill_all(self) -> None:
        """End every process that is left, by its id."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()


class Cluster:
    """Store, fabric, upstreams, callers and balancers."""

    def __init__(
        self,
        directory: Path,
        deployment: Deployment,
        subnet: str,
        balancers_per_zone: int = 3,
        caller_programs: int = 2,
        ack_timeout_s: float = 2.0,
    ):
        # The processes run in this directory, so their paths have to be absolute.
        self.directory = directory.resolve()
        self.deployment = deployment
        self.subnet = subnet
        self.processes = ProcessGroup(self.directory)
        self.balancers: dict[str, Balancer] = {}
        self.host_states: dict[str, str] = {}
        self.store_url = f"http://{subnet}.0.2:8500"
        self.fabric_url = f"http://{subnet}.0.1:7001"
        self.caller_urls = [
            f"http://{subnet}.0.{10 + index}:7101" for index in range(caller_programs)
        ]
        self.upstream_urls = {
            zone: f"http://{subnet}.0.{30 + index}:7201"
            for index, zone in enumerate(deployment.zones())
        }
        self._balancers_per_zone = balancers_per_zone
        self._ack_timeout_s = ack_timeout_s
        self._next_host = 0

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *_) -> None:
        self.processes.kill_all()

    def start(self) -> None:
        """Start everything and wait until all of it answers."""
        self.start_stand_ins()
        for zone in self.deployment.zones():
            for _ in range(self._balancers_per_zone):
                self.add_balancer(zone)
        self.write_hosts()
        for host_id in self.balancers:
            self.start_balancer(host_id)
        for host_id in self.balancers:
            self.wait_ready(host_id)

    def start_stand_ins(self) -> None:
        start = self.processes.start
        start("store", "testbed.store", "--listen", f"{self.subnet}.0.2:8500")
        self._wait_answer("store", f"{self.store_url}/counters")
        start(
            "fabric",
            "testbed.fabric",
            *("--listen", f"{self.subnet}.0.1:7000"),
            *("--admin", f"{self.subnet}.0.1:7001"),
        )
        for zone, url in self.upstream_urls.items():
            start(
                f"upstreams-{zone}",
                "testbed.upstream",
                *("--admin", url.removeprefix("http://")),
                *self.deployment.upstream_arguments(zone),
            )
        for index, url in enumerate(self.caller_urls):
            start(
                f"caller-{index}",
                "testbed.caller",
                *("--fabric", f"{self.subnet}.0.1:7000"),
                *("--listen", f"{self.subnet}.0.{10 + index}:7100"),
                *("--admin", url.removeprefix("http://")),
                *("--seed", str(index + 1)),
                *("--ack-timeout-s", str(self._ack_timeout_s)),
            )
        self._wait_answer("fabric", f"{self.fabric_url}/hosts")
        for zone, url in self.upstream_urls.items():
            self._wait_answer(f"upstreams-{zone}", f"{url}/busy")
        for index, url in enumerate(self.caller_urls):
            self._wait_answer(f"caller-{index}", f"{url}/status")

    # Balancers.

    def add_balancer(self, zone: str) -> Balancer:
        """Plan a balancer with a new host id; ``start_balancer`` starts it."""
        self._next_host += 1
        zone_index = self.deployment.zones().index(zone)
        ip = f"{self.subnet}.{10 + zone_index}.{self._next_host}"
        balancer = Balancer(f"host-{self._next_host:02}", zone, ip)
        self.balancers[balancer.host_id] = balancer
        self.host_states[balancer.host_id] = "live"
        return balancer

    def start_balancer(self, host_id: str) -> None:
        path = self.directory / f"{host_id}.json"
        path.write_text(json.dumps(self._settings(host_id), indent=2))
        arguments = ("serve", "--settings", str(path))
        self.processes.start(host_id, "wisteriatiller.operations.cli", *arguments)

    def wait_ready(self, host_id: str) -> dict:
        url = f"{self.balancers[host_id].admin_url}/status"
        return self._wait_answer(host_id, url)

    def wait_revision(self, revision: int, timeout_s: float = 15.0) -> None:
        """Wait until every balancer runs at least this configuration revision."""
        for host_id in self.balancers:
            wait_until(
                lambda host_id=host_id: self.revision(host_id) >= revision,
                timeout_s,
                f"{host_id} to run revision {revision}",
            )

    def owners(self) -> dict[str, str]:
        """The balancer that dispatches to each upstream, by its own status."""
        return {
            upstream_id: host_id
            for host_id in self.balancers
            for upstream_id in (self.status(host_id) or {}).get("upstreams", ())
        }

    def wait_owners(self, timeout_s: float = 15.0) -> None:
        """Wait until every upstream has an owner.

        Restarted grantors abstain for a lease duration, so a whole cluster that
        starts at once owns nothing for that long.
        """
        wanted = {u.upstream_id for s in self.deployment.services for u in s.upstreams}
        wait_until(
            lambda: wanted <= self.owners().keys(), timeout_s, "owners of all upstreams"
        )

    def revision(self, host_id: str) -> int:
        answer = http_or_none(f"{self.balancers[host_id].admin_url}/revision")
        return (answer or {}).get("revision", 0)

    def status(self, host_id: str) -> dict | None:
        return http_or_none(f"{self.balancers[host_id].admin_url}/status")

    def stop_balancer(self, host_id: str) -> int:
        """Stop a balancer as planned: mark it leaving, SIGTERM, wait for its end."""
        self.set_host_state(host_id, "leaving")
        self.processes.signal(host_id, signal.SIGTERM)
        return self.processes.wait_exit(host_id)

    def replace_balancer(self, host_id: str) -> tuple[int, str]:
        """Stop a balancer and start one with a new id in its zone."""
        code = self.stop_balancer(host_id)
        zone = self.balancers.pop(host_id).zone
        del self.host_states[host_id]
        balancer = self.add_balancer(zone)
        self.host_states[balancer.host_id] = "leaving"
        self.start_balancer(balancer.host_id)
        self._go_live(balancer.host_id)
        return code, balancer.host_id

    def restart_balancer(self, host_id: str) -> int:
        """Stop a balancer and start it again with the same id."""
        code = self.stop_balancer(host_id)
        self.start_balancer(host_id)
        self._go_live(host_id)
        return code

    def _go_live(self, host_id: str) -> None:
        """Let the fabric send to a host once it runs the others' revision."""
        self.wait_ready(host_id)
        revision = max(self.revision(other) for other in self.balancers)
        wait_until(
            lambda: self.revision(host_id) >= revision,
            START_TIMEOUT_S,
            f"{host_id} to run revision {revision}",
        )
        self.set_host_state(host_id, "live")

    def set_host_state(self, host_id: str, state: str) -> None:
        self.host_states[host_id] = state
        self.write_hosts()

    def write_hosts(self) -> None:
        """Publish the host list to the store, if it answers, and to the fabric."""
        entries = [
            balancer.host_entry(self.host_states[host_id])
            for host_id, balancer in self.balancers.items()
        ]
        http(f"{self.fabric_url}/hosts", entries)
        try:
            http(f"{self.store_url}/v1/kv/platform/hosts", entries)
        except (OSError, ValueError):
            # The list in the store lags while the store is away.
            pass

    def _settings(self, host_id: str) -> dict:
        balancer = self.balancers[host_id]
        return {
            "host_id": host_id,
            "zone": balancer.zone,
            "fabric_listen": f"{balancer.ip}:6000",
            "upstream_listen": f"{balancer.ip}:6001",
            "peer_listen": f"{balancer.ip}:6002",
            "admin_listen": f"{balancer.ip}:6003",
            "fabric_return": [f"{self.subnet}.0.1:7000"],
            "seeds": [
                {
                    "host_id": other.host_id,
                    "zone": other.zone,
                    "address": f"{other.ip}:6002",
                }
                for other in self.balancers.values()
            ],
            "store_urls": [self.store_url],
            "peer_keys": [PEER_KEY],
        }

    # Configuration, faults, work and records.

    def submit(self, deployment: Deployment, wait_s: float = 30.0) -> int:
        """Submit the operators' text with the command line; returns the revision.

        With ``wait_s`` 0 it returns once the store has accepted the text.
        """
        self.deployment = deployment
        path = self.directory / "services.json"
        path.write_text(deployment.text())
        process = self.processes.start(
            "submit",
            "wisteriatiller.operations.cli",
            *("submit", str(path), "--store", self.store_url, "--wait", str(wait_s)),
        )
        code = process.wait(wait_s + STOP_TIMEOUT_S)
        del self.processes.processes["submit"]
        accepted = re.findall(r"revision (\d+) accepted", self.log("submit"))
        if code != 0 or not accepted:
            raise ClusterError(f"submit exited with {code}:\n{self.log('submit')}")
        return int(accepted[-1])

    def log(self, name: str) -> str:
        return self.processes.log(name)

    def store_faults(self, **faults) -> None:
        http(f"{self.store_url}/faults", faults)

    def upstream_faults(self, upstream_id: str, **faults) -> None:
        zone = next(
            upstream.zone
            for service in self.deployment.services
            for upstream in service.upstreams
            if upstream.upstream_id == upstream_id
        )
        url = f"{self.upstream_urls[zone]}/faults"
        http(url, {"upstream": upstream_id, **faults})

    def start_work(self, program: int, **work) -> None:
        address = self.deployment.service(work["service"]).address
        http(f"{self.caller_urls[program]}/work", {"address": address, **work})

    def caller_statuses(self) -> list[dict]:
        return [http(f"{url}/status") for url in self.caller_urls]

    def stop_work(self, timeout_s: float) -> bool:
        """End all sessions; False if requests are still open after ``timeout_s``."""
        for url in self.caller_urls:
            http(f"{url}/stop", {})
        try:
            wait_until(
                lambda: not any(s["running"] for s in self.caller_statuses()),
                timeout_s,
                "the end of all sessions",
            )
        except ClusterError:
            return False
        return True

    def progress(self, prefix: str) -> int:
        """How many sessions are open (``open:``) or steps are done (``steps:``)."""
        return sum(
            count
            for status in self.caller_statuses()
            for name, count in status["progress"].items()
            if name.startswith(prefix)
        )

    def reset_records(self) -> None:
        """Start new records at callers and upstreams; no session may be running."""
        for url in (*self.caller_urls, *self.upstream_urls.values()):
            http(f"{url}/reset", {})

    def busy_s(self) -> dict[str, float]:
        """Busy-slot time of every upstream so far."""
        return self._merged("/busy")

    def upstream_records(self) -> dict[str, dict]:
        return self._merged("/record")

    def caller_records(self) -> list[dict]:
        return [http(f"{url}/record") for url in self.caller_urls]

    def _merged(self, path: str) -> dict:
        merged = {}
        for url in self.upstream_urls.values():
            merged.update(http(url + path))
        return merged

    def _wait_answer(self, name: str, url: str):
        def answer():
            self.processes.check_running(name)
            return http_or_none(url) is not None

        return wait_until(answer, START_TIMEOUT_S, f"{name} to answer at {url}")


__all__ = [
    "Balancer",
    "Cluster",
    "ClusterError",
    "ProcessGroup",
    "free_subnet",
    "http",
    "http_or_none",
    "wait_until",
]
