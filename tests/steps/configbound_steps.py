"""Steps for the bound on the delay of configuration changes."""

from behave import given, then, when

from tests.sharingdays import SimulatedDay
from tests.sharingfleet import live_readers
from tests.steeringharness import config_with_routes


@given("a watch that returns {routes:d} routes at most")
def given_watch_limit(context, routes):
    context.fleet.store.max_watch_routes = routes


@given("a random fault schedule of seed {seed:d} with the faults {kinds}")
def given_day(context, seed, kinds):
    context.day = SimulatedDay(seed, kinds.split(","))


@when("the open store connections of all hosts stall")
def when_stalled(context):
    for host in context.fleet.hosts:
        host.store.stall_connections()


@when("the last {count:d} hosts in reader order are cut off from all others")
def when_last_partitioned(context, count):
    order = sorted(context.fleet.hosts, key=lambda host: host.settings.control_listen)
    for host in order[-count:]:
        for other in context.fleet.hosts:
            context.fleet.partition(host, other)


@when("the readers get no answer about the configuration")
def when_config_silent(context):
    context.lost = {host.name for host in live_readers(context)}
    context.fleet.store.config_silent_hosts = context.lost


@when(
    "configurations {first:d} to {last:d} with {routes:d} routes are published at once "
    "and {duration_s:g} seconds pass"
)
def when_many_published(context, first, last, routes, duration_s):
    for version in range(first, last + 1):
        context.fleet.store.put_config(config_with_routes(version, routes))
    context.scheduler.run_for(duration_s)


@when("the stopped hosts start again and {duration_s:g} seconds pass")
def when_restarted(context, duration_s):
    for host in [host for host in context.fleet.hosts if host.is_down]:
        context.fleet.restart_host(host)
    context.scheduler.run_for(duration_s)


@then("the readers' snapshots stay fresh for the next {duration_s:d} seconds")
def then_fresh(context, duration_s):
    for _ in range(20 * duration_s):
        context.scheduler.run_for(0.05)
        answers = [
            host.sharing.build_snapshot(host.state.build_request(False, False))
            for host in live_readers(context)
        ]
        stale = [answer for answer in answers if not answer.is_fresh]
        assert not stale, [(one.config_age_s, one.listing_age_s) for one in stale]


@then("every host that has been free of faults for 4 seconds keeps the bound")
def then_bound_kept(context):
    violations = context.day.run()
    assert not violations, (violations[:5], context.day.injected_faults)
