"""Steps for a store that is restored from a copy."""

from behave import when

from testbed.steeringparts import upstream
from tests.sharingfleet import single_route_config


@when("a copy of the store is made")
def when_copied(context):
    context.copy = context.fleet.store.take_copy()


@when("the configuration changes {count:d} times")
def when_config_changes(context, count):
    for _ in range(count):
        version = context.fleet.store.config.version + 1
        context.fleet.store.put_config(single_route_config(version))
        context.scheduler.run_for(0.5)
    context.newest_version = version


@when("the store is away for {duration_s:g} seconds and comes back from the copy")
def when_away_and_restored(context, duration_s):
    store = context.fleet.store
    store.refused_hosts = {host.name for host in context.fleet.hosts}
    context.scheduler.run_for(duration_s)
    store.restore(context.copy, context.scheduler.now_s())
    store.refused_hosts = set()


@when("the store comes back from the copy at once")
def when_restored(context):
    context.fleet.store.restore(context.copy, context.scheduler.now_s())


@when("the operator writes its configuration again and {duration_s:g} seconds pass")
def when_config_rewritten(context, duration_s):
    context.fleet.store.put_config(single_route_config(context.newest_version))
    context.scheduler.run_for(duration_s)


@when("an upstream is added and {duration_s:g} seconds pass")
def when_upstream_added(context, duration_s):
    store = context.fleet.store
    store.put_upstreams(context.scheduler.now_s(), *store.upstreams, upstream("3"))
    context.scheduler.run_for(duration_s)


@when("configuration {version:d} is published at the revision that was lost")
def when_published_at_lost_revision(context, version):
    """Publish at once, and let other writes follow so that the watch is not expired."""
    store = context.fleet.store
    store.put_config(single_route_config(version))
    store.put_upstreams(context.scheduler.now_s(), *store.upstreams)
