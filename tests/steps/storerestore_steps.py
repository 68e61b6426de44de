"""Steps for a store that is restored from a copy."""

from behave import given, then, when

from testbed.steeringparts import VirtualScheduler, steering_settings, upstream
from tests.fakestore import TIMEOUT
from tests.manualstore import ManualStore
from tests.sharingfleet import single_route_config
from tests.steeringfakes import RecordingStateObserver
from wisteriatiller.ids import Revision, StoreEpoch, StorePosition
from wisteriatiller.steering.configwatcher import ConfigWatcher
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evacuation import EvacuationView
from wisteriatiller.steering.evacuationupdates import EvacuationUpdater
from wisteriatiller.steering.ports import ConfigRead, ConfigUnchanged
from wisteriatiller.steering.routes import ConfigView


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


@then("no host has rejected a listing")
def then_none_rejected(context):
    rejected = {host.name: host.observer.rejected_pages for host in context.fleet.hosts}
    assert not any(rejected.values()), rejected


@given("a watcher whose calls are answered by hand")
def given_watcher(context):
    context.scheduler = VirtualScheduler()
    context.store = ManualStore()
    context.view = ConfigView()
    observer = RecordingStateObserver(context.scheduler)
    updater = EvacuationUpdater(
        context.scheduler, EvacuationView(), UpstreamDirectory(), observer
    )
    context.watcher = ConfigWatcher(
        steering_settings(),
        context.scheduler,
        context.store,
        context.view,
        observer,
        updater,
    )
    context.watcher.resume()
    context.first_read_at_s = context.scheduler.now_s()


@when(
    "a read is answered with configuration {version:d} of epoch {epoch:d}, revision "
    "{revision:d}"
)
def when_read_answered(context, version, epoch, revision):
    position = StorePosition(StoreEpoch(epoch), Revision(revision))
    answer = ConfigRead(position, single_route_config(version))
    context.store.answer("read", answer)
    context.scheduler.run_for(1.0)


@when("the watcher pauses and resumes")
def when_paused(context):
    context.watcher.pause()
    context.scheduler.run_for(0.2)
    context.watcher.resume()


@when("a watch is answered without a change in epoch {epoch:d}, revision {revision:d}")
def when_watch_answered(context, epoch, revision):
    position = StorePosition(StoreEpoch(epoch), Revision(revision))
    context.store.answer("watch", ConfigUnchanged(position))
    context.scheduler.run_for(1.0)


@when("a watch fails")
def when_watch_fails(context):
    context.store.answer("watch", TIMEOUT)
    context.scheduler.run_for(1.0)


@then("the next call is a read")
def then_reads(context):
    assert context.store.call == "read", context.store.call


@then("the configuration has not been confirmed since the first read")
def then_not_confirmed(context):
    assert context.view.confirmed_at_s == context.first_read_at_s
