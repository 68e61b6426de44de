"""Flows that open at a service from which the manifest has moved their route.

The address behind which the clients are has a limited number of ports, so that a flow
that has ended leaves its port to a later one. If the first opening packet of the later
flow is lost, the host takes its copy for a packet of the former flow.
"""

import random
import sys
import time

from review.parts.wire import SYN, ip_number
from review.parts.world import STABILITY_S, World, is_troubled, route_to, run_case

HOSTS = 5
BACKENDS = {"hub": 7, "art": 3}
PORTS = range(20_000, 21_500)
FLOWS_PER_S = 90
LENGTH_S = 75.0
CHANGE_AT_S = 25.0
CONFIG_APPLY_S = 3.0
LOST_SHARE = 0.01
SERVICE_IP, SERVICE_PORT = "127.0.0.80", 8443
SEED = 8


def _play(world: World) -> None:
    world.put_config([route_to(SERVICE_IP, SERVICE_PORT, "hub")])
    for service, count in BACKENDS.items():
        for _ in range(count):
            world.add_backend(service, 0.008).on_run = _make_judge(world)
    world.start()
    if is_troubled():
        world.record.line(f"a share of {LOST_SHARE} of the clients' packets is lost")
        world.clients.loses = lambda packet: _is_lost(world, packet)
    world.changed_s = None
    world.after(CHANGE_AT_S, lambda: _move_route(world))
    world.play(LENGTH_S, FLOWS_PER_S, lambda index: _begin_flow(world, index))


def _begin_flow(world: World, index: int) -> None:
    """Begin a flow at the next port, unless its former flow still lasts."""
    port = PORTS[index % len(PORTS)]
    service = (ip_number(SERVICE_IP), SERVICE_PORT)
    if ((world.clients.ip, port), service) not in world.clients.flows:
        world.clients.begin(port, service, random.randint(1, 2))


def _is_lost(world: World, packet) -> bool:
    is_lost = random.random() < LOST_SHARE
    if is_lost and packet.flags & SYN:
        world.record.line(
            f"opening packet {packet.ack} of port {packet.source[1]} lost"
        )
    return is_lost


def _move_route(world: World) -> None:
    """Move the only route from one service to the other one, for good."""
    world.put_config([route_to(SERVICE_IP, SERVICE_PORT, "art")])
    world.changed_s = time.monotonic()


def _make_judge(world: World):
    def on_run(backend, backend_flow, request_id):
        life = backend.life
        if world.changed_s is None or life.service == "art":
            return
        flow = world.clients.flows.get((backend_flow.client, backend_flow.service))
        if flow is None:
            return
        after_s = flow.begun_at_s - world.changed_s
        if after_s <= CONFIG_APPLY_S:
            return
        settled = [host for host in world.hosts if host.is_settled(STABILITY_S)]
        if len(settled) < len(world.hosts):
            return
        world.record.broke(
            f"CONFIG: {request_id} of port {flow.source[1]} is run by "
            f"i-{life.number:x} of the old service, and its flow was begun "
            f"{after_s:.2f} s after the acknowledgement of the new manifest; all "
            f"hosts are undisturbed for {STABILITY_S:g} s and more"
        )

    return on_run


if __name__ == "__main__":
    sys.exit(run_case(__file__, _play, HOSTS, SEED))
