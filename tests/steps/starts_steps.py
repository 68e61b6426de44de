"""Steps for starts of single hosts and of a whole fleet."""

import random

from behave import given, then, when

from testbed.steeringparts import VirtualScheduler, upstream
from tests.sharingfleet import (
    ZONES,
    check_config_version,
    single_route_config,
    start_host_and_run,
)
from tests.steeringfakes import SimulatedFleet

STORE_READS_PER_S = 2000


@given(
    "{hosts:d} hosts in 3 zones that start within {within_s:g} seconds with a store "
    "of {pages:d} pages"
)
def given_large_start(context, hosts, within_s, pages):
    random.seed(1)
    context.scheduler = VirtualScheduler()
    context.fleet = SimulatedFleet(context.scheduler)
    store = context.fleet.store
    store.listing_pages = pages
    store.max_calls_per_s = STORE_READS_PER_S
    store.put_config(single_route_config(1))
    store.put_upstreams(1000.0, upstream("1"), upstream("2", zone="b"))
    seeds = tuple(
        context.fleet.host_settings(number, "a").control_listen for number in (1, 2, 3)
    )
    order = random.sample(range(1, hosts + 1), hosts)
    for number in order:
        context.scheduler.run_for(within_s / hosts)
        context.fleet.add_host(ZONES[number % 3], seeds, number)


@when("the seed loses power")
def when_seed_loses_power(context):
    context.fleet.hosts[0].kill()


@when("the seed is cut off from the store and all hosts")
def when_seed_partitioned(context):
    seed = context.fleet.hosts[0]
    context.fleet.store.silent_hosts = {seed.name}
    for other in context.fleet.hosts[1:]:
        context.fleet.partition(seed, other)


@when("the seed is suspended")
def when_seed_suspended(context):
    context.fleet.hosts[0].suspend()


@when("the seed resumes")
def when_seed_resumes(context):
    context.fleet.hosts[0].resume()


@when("a host that reaches the seed starts and {duration_s:g} seconds pass")
def when_start_near_seed(context, duration_s):
    start_host_and_run(context, "b", duration_s)


@then("the new host has made {count:d} calls to the store")
def then_new_host_calls(context, count):
    calls = context.fleet.store.calls_by_host[context.new_host.name]
    assert calls == count, calls


@then("the new host gives no new flows to the draining upstream")
def then_new_host_no_new_flows(context):
    eligible = context.new_host.directory.eligible_entries("stock")
    assert [entry.upstream.upstream_id for entry in eligible] == ["i-2"], eligible


@then("every host knows configuration {version:d} and {count:d} upstreams")
def then_all_know(context, version, count):
    check_config_version(context.fleet.hosts, version)
    known = {len(list(host.directory.entries())) for host in context.fleet.hosts}
    assert known == {count}, known
