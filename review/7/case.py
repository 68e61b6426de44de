"""New flows at draining backends, after stale pages of different ages.

The store has two replicas for reads with ``serializable`` = 1. One is up to date, the
other one is some seconds behind. The list of backends has two pages, and each page is
a call of its own.
"""

import random
import sys
import time

from review.parts.wire import ip_number
from review.parts.world import STABILITY_S, World, is_troubled, route_to, run_case

HOSTS = 3
BACKENDS = 75
LAG_S = 5.0
LENGTH_S = 86.0
FLOWS_PER_S = 120
DRAIN_TIMEOUT_S = 3.0
# "It continues serving for drain_timeout_ms ... and a little longer (at times many
# seconds), and then exits."
STAYS_S = DRAIN_TIMEOUT_S + 5.0
# Each release replaces a share of 0.45, two at a time with a gap of a second.
RELEASES_AT_S = (6.0, 32.0, 58.0)
RELEASED = int(0.45 * BACKENDS)
SERVICE_IP, SERVICE_PORT = "127.0.0.80", 8443
FIRST_PORT = 20_000
SEED = 7


def _play(world: World) -> None:
    world.put_config([route_to(SERVICE_IP, SERVICE_PORT, "hub")])
    for _ in range(BACKENDS):
        _watch(world, world.add_backend("hub", 0.015))
    world.start()
    # All hosts are in touch from here on: nothing is done to them or to the store.
    for release_at_s in RELEASES_AT_S:
        for step in range(RELEASED):
            world.after(release_at_s + step // 2, lambda: _release_one(world))
    service = (ip_number(SERVICE_IP), SERVICE_PORT)
    world.play(
        LENGTH_S,
        FLOWS_PER_S,
        lambda index: world.clients.begin(
            20_000 + index, service, random.randint(1, 4)
        ),
    )


def _release_one(world: World) -> None:
    """Replace a backend: the new one starts first, then the old one drains."""
    ready = [
        backend
        for backend in world.backends
        if backend.life.is_alive and backend.life.state == "ready"
    ]
    old = random.choice(ready)
    _watch(world, world.add_backend("hub", 0.015))
    world.drain(old)
    world.after(STAYS_S, lambda: world.end(old))


def _watch(world: World, backend) -> None:
    def on_run(backend, flow, request_id):
        life = backend.life
        opened = life.openings.get((flow.client, flow.service))
        if opened is None or life.draining_ack_s is None:
            return
        host, sent_s, arrived_s = opened
        after_s = min(sent_s, arrived_s) - life.draining_ack_s
        if after_s > DRAIN_TIMEOUT_S and host.is_settled(STABILITY_S):
            world.record.broke(
                f"DRAIN: {request_id} runs at i-{life.number:x}; its flow was opened "
                f"{after_s:.2f} s after the store acknowledged the drain, through "
                f"{host.ip}, undisturbed for "
                f"{time.monotonic() - host.disturbed_at_s:.0f} s"
            )

    def on_opening(backend, packet, host_ip):
        flow = world.clients.flows.get((packet.source, packet.target))
        if flow is None:
            return
        sent_s = flow.copy_sent_s.get(packet.ack, 0.0)
        host = world.routers.by_ip(host_ip)
        opened = (host, sent_s, time.monotonic())
        backend.life.openings[packet.source, packet.target] = opened

    backend.on_opening, backend.on_run = on_opening, on_run


if __name__ == "__main__":
    lags_s = (0.0, LAG_S) if is_troubled() else (0.0, 0.0)
    sys.exit(run_case(__file__, _play, HOSTS, SEED, lags_s))
