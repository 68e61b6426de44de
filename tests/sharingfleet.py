"""Starts and inspects simulated fleets whose hosts share reads of the store."""

import random

from testbed.steeringparts import VirtualScheduler, route_config, upstream
from tests.steeringfakes import SimulatedFleet
from wisteriatiller.steering.sharing import Source

ZONES = "abc"


def single_route_config(version):
    """A small configuration, of one route to one service."""
    return route_config(version, ("stock", 1.0))


def start_fleet(context, is_store_silent, hosts=12, zones=ZONES, **settings_changes):
    """Start hosts that share one seed, spread over zones, and one fake store.

    With ``is_store_silent`` the store answers none of them.
    """
    random.seed(1)
    context.scheduler = VirtualScheduler()
    context.fleet = SimulatedFleet(context.scheduler, **settings_changes)
    store = context.fleet.store
    store.put_config(single_route_config(1))
    store.put_upstreams(1000.0, upstream("1"), upstream("2", zone="b"))
    if is_store_silent:
        store.silent_hosts = {f"host-{number + 1}" for number in range(hosts)}
    seed = context.fleet.add_host(zones[0])
    for number in range(1, hosts):
        zone = zones[number % len(zones)]
        context.fleet.add_host(zone, (seed.settings.control_listen,))
    context.dead = []


def live_readers(context):
    """The hosts that are up and read the store themselves, not through a peer."""
    return [
        host
        for host in context.fleet.hosts
        if host.sharing.source is Source.STORE and not host.is_down
    ]


def start_host_and_run(context, zone, duration_s):
    """Add a host that knows the first host as its seed, and advance the clock."""
    seed = context.fleet.hosts[0].settings.control_listen
    context.new_host = context.fleet.add_host(zone, (seed,))
    context.scheduler.run_for(duration_s)


def check_config_version(hosts, version):
    """Assert that each host has this version of the configuration in force."""
    versions = {host.name: host.view.version for host in hosts}
    assert set(versions.values()) == {version}, versions
