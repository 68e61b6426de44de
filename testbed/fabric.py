"""Stand-in of the fabric that sprays datagrams over the balancers.

Every datagram of a caller goes to a balancer picked at random; datagrams of the
balancers go back to the caller program that last sent from that caller IP::

    python -m testbed.fabric --listen 127.10.0.1:7000 --admin 127.10.0.1:7001 \\
        --store http://127.10.0.2:8500 --seed 1
"""

import argparse
import asyncio
import base64
import collections
import json
import random
import zlib
from dataclasses import dataclass, field

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import Address
from wisteriatiller.transport.proxyheader import (
    IPV4_ADDRESS_BLOCK_BYTES,
    flow_key,
    split,
)

from .sockets import BatchSocket
from .web import route, serve, update_faults, wait_for_stop

HOSTS_KEY = "platform/hosts"
WATCH_WAIT_S = 10
STORE_RETRY_S = 0.5


@dataclass
class FabricFaults:
    """Faults of the network between the callers and the balancers."""

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    reordering_delay_s: float = 0.01
    delay_s: float = 0.0
    # A host that is leaving or gone still gets datagrams for this long, because the
    # platform's host list lags.
    leaving_lag_s: float = 0.5
    # Groups of zones that are cut from each other. Each caller reaches one group,
    # chosen by its IP; hosts of zones in no group get nothing. Empty means no cut.
    zone_groups: list[list[str]] = field(default_factory=list)


@dataclass(frozen=True)
class BalancerHost:
    """One entry of the platform's host list."""

    host_id: str
    zone: str
    address: tuple[str, int]


class Fabric:
    """Forwards datagrams between callers and balancers."""

    def __init__(self, listen: Address, seed: int, open_socket=BatchSocket):
        self._random = random.Random(seed)
        self._socket = open_socket(listen, self._receive)
        self._loop = asyncio.get_running_loop()
        self.address = self._socket.address
        self.faults = FabricFaults()
        self.counters = collections.Counter()
        self._hosts: dict[str, BalancerHost] = {}
        self._removals: dict[str, asyncio.TimerHandle] = {}
        self._host_addresses: set[tuple[str, int]] = set()
        self._targets: list[tuple[str, int]] = []
        self._group_targets: list[list[tuple[str, int]]] = []
        self._caller_programs: dict[bytes, tuple[str, int]] = {}

    def set_hosts(self, entries: list[dict]) -> list[dict]:
        """Take the platform's host list; hosts that leave are dropped after a lag."""
        live = {}
        for entry in entries:
            if entry.get("state", "live") == "live":
                address = tuple(Address.parse(entry["fabric"]))
                host = BalancerHost(entry["host_id"], entry["zone"], address)
                live[host.host_id] = host
        for host_id, host in live.items():
            if host_id in self._removals:
                self._removals.pop(host_id).cancel()
            self._hosts[host_id] = host
            self._host_addresses.add(host.address)
        for host_id in self._hosts.keys() - live.keys() - self._removals.keys():
            self._removals[host_id] = self._loop.call_later(
                self.faults.leaving_lag_s, self._remove_host, host_id
            )
        self._rebuild_targets()
        return self.hosts()

    def hosts(self) -> list[dict]:
        return [
            {
                "host_id": host.host_id,
                "zone": host.zone,
                "fabric": str(Address(*host.address)),
            }
            for host in self._hosts.values()
        ]

    def set_faults(self, changes: dict) -> dict:
        result = update_faults(self.faults, changes)
        self._rebuild_targets()
        return result

    def close(self) -> None:
        self._socket.close()

    def _remove_host(self, host_id: str) -> None:
        self._removals.pop(host_id, None)
        self._hosts.pop(host_id, None)
        self._rebuild_targets()

    def _rebuild_targets(self) -> None:
        self._targets = [host.address for host in self._hosts.values()]
        self._group_targets = [
            [host.address for host in self._hosts.values() if host.zone in zones]
            for zones in self.faults.zone_groups
        ]

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            key = flow_key(split(data)[0])
        except MessageError:
            self.counters["undecodable"] += 1
            return
        size = 4 if len(key) == IPV4_ADDRESS_BLOCK_BYTES else 16
        source_ip, destination_ip = key[:size], key[size : 2 * size]
        program = self._caller_programs.get(destination_ip)
        if program is not None:
            self._from_balancer(data, sender, destination_ip, program)
        elif sender in self._host_addresses:
            self.counters["unknown_caller"] += 1
        else:
            self._from_caller(data, sender, source_ip)

    def _from_balancer(self, data, sender, caller_ip, program) -> None:
        self.counters["to_callers"] += 1
        if self._group_targets and sender not in self._reachable(caller_ip):
            self.counters["cut"] += 1
            return
        self._transmit(data, program)

    def _from_caller(self, data, sender, caller_ip) -> None:
        self._caller_programs[caller_ip] = sender
        self.counters["to_balancers"] += 1
        targets = self._targets
        if self._group_targets:
            targets = self._reachable(caller_ip)
        if not targets:
            self.counters["no_host"] += 1
            return
        self._transmit(data, targets[int(self._random.random() * len(targets))])

    def _reachable(self, caller_ip: bytes) -> list[tuple[str, int]]:
        return self._group_targets[zlib.crc32(caller_ip) % len(self._group_targets)]

    def _transmit(self, data: bytes, address: tuple[str, int]) -> None:
        faults = self.faults
        if faults.loss and self._random.random() < faults.loss:
            self.counters["lost"] += 1
            return
        copies = 1
        if faults.duplication and self._random.random() < faults.duplication:
            self.counters["duplicated"] += 1
            copies = 2
        for _ in range(copies):
            delay_s = faults.delay_s
            if faults.reordering and self._random.random() < faults.reordering:
                self.counters["reordered"] += 1
                delay_s += self._random.random() * faults.reordering_delay_s
            if delay_s:
                self._loop.call_later(delay_s, self._socket.send, data, address)
            else:
                self._socket.send(data, address)


async def follow_hosts(fabric: Fabric, store_url: str) -> None:
    """Keep the fabric's hosts equal to the store's host list."""
    client = AsyncHTTPClient()
    index = 0
    while True:
        try:
            url = f"{store_url}/v1/kv/{HOSTS_KEY}?index={index}&wait={WATCH_WAIT_S}s"
            response = await client.fetch(url, request_timeout=WATCH_WAIT_S + 5)
            index = int(response.headers["X-Consul-Index"])
            value = base64.b64decode(json.loads(response.body)[0]["Value"])
            fabric.set_hosts(json.loads(value))
        except HTTPClientError as error:
            if error.code == 404 and error.response is not None:
                index = int(error.response.headers.get("X-Consul-Index", 0))
            await asyncio.sleep(STORE_RETRY_S)
        except (OSError, ValueError, KeyError):
            fabric.counters["store_failures"] += 1
            await asyncio.sleep(STORE_RETRY_S)


async def main(arguments) -> None:
    fabric = Fabric(arguments.listen, arguments.seed)
    serve(
        arguments.admin,
        [
            route("/hosts", fabric.hosts, fabric.set_hosts),
            route("/faults", lambda: fabric.set_faults({}), fabric.set_faults),
            route("/counters", lambda: dict(fabric.counters)),
        ],
    )
    follower = None
    if arguments.store:
        follower = asyncio.create_task(follow_hosts(fabric, arguments.store))
    await wait_for_stop()
    if follower:
        follower.cancel()


def parse_arguments():
    parser = argparse.ArgumentParser(prog="python -m testbed.fabric")
    parser.add_argument("--listen", type=Address.parse, required=True)
    parser.add_argument("--admin", type=Address.parse, required=True)
    parser.add_argument("--store", help="URL of the store with the host list")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(main(parse_arguments()))
