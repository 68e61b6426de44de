"""Steps for evacuations in a simulated fleet, and for the view of evacuations."""

from behave import given, then, when

from testbed.steeringparts import VirtualScheduler, steering_settings
from tests.manualstore import ManualStore
from tests.sharingfleet import live_readers, single_route_config, start_fleet
from tests.steeringfakes import RecordingStateObserver
from tests.steeringharness import make_listing
from wisteriatiller.ids import Revision, StoreEpoch, StorePosition, ZoneId
from wisteriatiller.steering.configwatcher import ConfigWatcher
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evacuation import (
    EvacuationChanges,
    EvacuationSet,
    EvacuationState,
    EvacuationView,
    ZoneChange,
)
from wisteriatiller.steering.evacuationupdates import EvacuationUpdater
from wisteriatiller.steering.ports import ConfigRead, ConfigUnchanged
from wisteriatiller.steering.routes import ConfigView

BOUND_S = 5.0
CHECK_INTERVAL_S = 0.05
NOW_S = 1000.0


def zones_of(text):
    """The zones of a step, which are separated by commas; "none" stands for none."""
    return frozenset() if text == "none" else frozenset(text.split(","))


def position_of(epoch, revision):
    return StorePosition(StoreEpoch(epoch), Revision(revision))


@given(
    "12 sharing hosts that apply evacuations in {bound_s:g} s and configurations in "
    "{config_s:g} s"
)
def given_fleet(context, bound_s, config_s):
    changes = {"evacuation_bound_s": bound_s, "config_bound_s": config_s}
    start_fleet(context, is_store_silent=False, **changes)
    context.lost = set()


@given(
    "a host that applies evacuations in {bound_s:g} s and reads a store with zone "
    "{zone} evacuated"
)
def given_single_host(context, bound_s, zone):
    start_fleet(context, False, hosts=1, evacuation_bound_s=bound_s)
    context.fleet.store.set_evacuated(zone)


@given(
    "a host that applies evacuations in {bound_s:g} s and has a configuration and a "
    "listing"
)
def given_incomplete(context, bound_s):
    start_fleet(context, True, hosts=1, evacuation_bound_s=bound_s)
    (context.host,) = context.fleet.hosts
    context.host.view.apply(single_route_config(1))
    context.host.directory.apply(make_listing(1), NOW_S)


@then("that host is not complete")
def then_incomplete(context):
    assert not context.host.state.is_complete()


@then("the new host is complete")
def then_complete(context):
    assert context.new_host.state.is_complete()


@when("its evacuations were last confirmed {age_s:g} seconds ago")
def when_confirmed(context, age_s):
    (host,) = context.fleet.hosts
    host.state.evacuations.confirmed_at_s = context.scheduler.now_s() - age_s


@then("that host's snapshots are {state}")
def then_snapshots_fresh(context, state):
    (host,) = context.fleet.hosts
    request = host.state.build_request(False, False)
    assert host.sharing.build_snapshot(request).is_fresh == (state == "fresh")


@then("its state is {state}")
def then_state_recent(context, state):
    (host,) = context.fleet.hosts
    is_recent = host.state.is_recent(context.scheduler.now_s())
    assert is_recent == (state == "recent"), is_recent


# Changes and faults


@when("zone {zone:w} is evacuated")
def when_evacuated(context, zone):
    context.fleet.store.set_evacuated(zone)


@when("the evacuation of zone {zone:w} is withdrawn and {duration_s:g} seconds pass")
def when_withdrawn(context, zone, duration_s):
    context.fleet.store.set_evacuated(zone, False)
    context.scheduler.run_for(duration_s)


@when(
    "the operator evacuates zone {zone:w} and changes it every {pause_s:g} s: {changes}"
)
def when_changed_quickly(context, zone, pause_s, changes):
    context.fleet.store.set_evacuated(zone)
    for change in changes.split(","):
        context.scheduler.run_for(pause_s)
        context.fleet.store.set_evacuated(zone, change == "evacuate")


@when("another program goes on writing {rate:d} unrelated keys a second")
def when_unrelated(context, rate):
    context.fleet.store.put_unrelated_key()
    context.scheduler.call_later(1.0 / rate, lambda: when_unrelated(context, rate))


@when("the store loses its history while {change}")
def when_history_lost(context, change):
    context.fleet.store.is_history_lost = True
    context.fleet.store.set_evacuated("b", change == "zone b is evacuated")
    context.scheduler.run_for(0.1)
    context.fleet.store.is_history_lost = False


@when("the readers are suspended for {duration_s:g} seconds")
def when_suspended(context, duration_s):
    """Suspend the readers; they then answer with the state from before."""
    for host in live_readers(context):
        context.lost.add(host.name)
        host.suspend()
        context.scheduler.call_later(duration_s, host.resume)


def hosts_of_zones(context, zones):
    return [host for host in context.fleet.hosts if host.settings.zone in zones]


@when("the store refuses the hosts of zones a and b")
def when_zones_refused(context):
    refused = {host.name for host in hosts_of_zones(context, "ab")}
    context.fleet.store.refused_hosts = refused


@when("zone {zone:w} is cut off from the other hosts")
def when_zone_cut(context, zone):
    for host in hosts_of_zones(context, zone):
        for other in context.fleet.hosts:
            if other.settings.zone != zone:
                context.fleet.partition(host, other)


@when("zone {zone:w} is cut off from the other hosts and the store")
def when_zone_cut_fully(context, zone):
    when_zone_cut(context, zone)
    silent = {host.name for host in hosts_of_zones(context, zone)}
    context.fleet.store.silent_hosts = silent


@when("the cut ends and {duration_s:g} seconds pass")
def when_cut_ends(context, duration_s):
    context.fleet.partitioned_pairs.clear()
    context.fleet.store.silent_hosts = set()
    context.scheduler.run_for(duration_s)


# Checks of a fleet


def hosts_with_flows(hosts, zone):
    """The names of the hosts that may open flows at an upstream of a zone."""
    return [
        host.name
        for host in hosts
        if not host.is_down
        and zone in {e.upstream.zone for e in host.directory.eligible_entries("stock")}
    ]


def check_no_flows(context, choose_hosts, zone, first_s, last_s):
    """Check until ``last_s`` from now, beginning at ``first_s``."""
    context.scheduler.run_for(first_s)
    for _ in range(round((last_s - first_s) / CHECK_INTERVAL_S)):
        found = hosts_with_flows(choose_hosts(), zone)
        now_s = context.scheduler.now_s()
        assert not found, (found, now_s, context.fleet.store.zone_events)
        context.scheduler.run_for(CHECK_INTERVAL_S)


@then(
    "no undisturbed host opens flows in zone {zone:w} from {first_s:g} to {last_s:g} "
    "seconds later"
)
def then_no_flows_undisturbed(context, zone, first_s, last_s):
    store = context.fleet.store

    def undisturbed():
        disturbed = context.lost | store.silent_hosts | store.refused_hosts
        return [host for host in context.fleet.hosts if host.name not in disturbed]

    assert len(undisturbed()) >= 9, undisturbed()
    check_no_flows(context, undisturbed, zone, first_s, last_s)


@then(
    "no live host opens flows in zone {zone:w} from {first_s:g} to {last_s:g} seconds "
    "later"
)
def then_no_flows(context, zone, first_s, last_s):
    check_no_flows(context, lambda: context.fleet.hosts, zone, first_s, last_s)


@then("the hosts of zone {zone:w} open no flows there for {duration_s:g} seconds")
def then_no_own_flows(context, zone, duration_s):
    check_no_flows(
        context, lambda: hosts_of_zones(context, zone), zone, 0.0, duration_s
    )


def check_zones(hosts, zones):
    found = {host.name: set(host.state.evacuations.in_force) for host in hosts}
    assert all(one == zones_of(zones) for one in found.values()), found
    for host in hosts:
        assert host.directory.evacuated_zones == zones_of(zones), host.name


@then("the evacuated zones are {zones} on every host")
def then_zones(context, zones):
    check_zones([host for host in context.fleet.hosts if not host.is_down], zones)


@then("the evacuated zones are {zones} on the new host")
def then_zones_new(context, zones):
    check_zones([context.new_host], zones)


# The view


@given("a view with zone {zone} evacuated at epoch {epoch:d}, revision {revision:d}")
def given_view(context, zone, epoch, revision):
    context.view = EvacuationView()
    answer = EvacuationSet(zones_of(zone))
    context.view.apply_answer(answer, position_of(epoch, revision), NOW_S)


def peer_state(zones, epoch, revision, removed="none", epoch_age_s=1.0):
    return EvacuationState(
        position=position_of(epoch, revision),
        zones=zones_of(zones),
        retained=frozenset(),
        removed=zones_of(removed),
        epoch_age_s=epoch_age_s,
        age_s=0.5,
    )


@when("{source} of zones {zones} arrives at epoch {epoch:d}, revision {revision:d}")
def when_arrives(context, source, zones, epoch, revision):
    if source == "a snapshot":
        context.view.apply_state(peer_state(zones, epoch, revision), NOW_S + 1.0)
        return
    answer = EvacuationSet(zones_of(zones))
    if source == "a watch":
        changes = [ZoneChange(ZoneId(zone), True) for zone in zones_of(zones)]
        answer = EvacuationChanges(tuple(changes))
    context.view.apply_answer(answer, position_of(epoch, revision), NOW_S + 1.0)


@when(
    "a snapshot of epoch {epoch:d} says that zone {zone:w} was withdrawn after the "
    "restore"
)
def when_removed_state(context, epoch, zone):
    context.view.apply_state(peer_state("none", epoch, 4, removed=zone), NOW_S + 1.0)


@when("a snapshot of epoch {epoch:d} says that the restore was {age_s:g} seconds ago")
def when_old_epoch_state(context, epoch, age_s):
    state = peer_state("none", epoch, 4, epoch_age_s=age_s)
    context.view.apply_state(state, NOW_S + 1.0)


@then("the view has {zones}")
def then_view(context, zones):
    assert context.view.in_force == zones_of(zones), context.view.in_force


@given("a watcher of evacuations whose calls are answered by hand")
def given_watcher(context):
    context.scheduler = VirtualScheduler()
    context.store = ManualStore()
    context.view = EvacuationView()
    observer = RecordingStateObserver(context.scheduler)
    updater = EvacuationUpdater(
        context.scheduler, context.view, UpstreamDirectory(), observer
    )
    context.watcher = ConfigWatcher(
        steering_settings(evacuation_bound_s=BOUND_S),
        context.scheduler,
        context.store,
        ConfigView(),
        observer,
        updater,
    )
    context.watcher.resume()


@when("its read of epoch {epoch:d}, revision {revision:d} returns zone {zone:w}")
def when_read(context, epoch, revision, zone):
    answer = ConfigRead(
        position_of(epoch, revision),
        single_route_config(1),
        EvacuationSet(zones_of(zone)),
    )
    context.store.answer("read", answer)
    context.scheduler.run_for(1.0)


@when(
    "its watch of epoch {epoch:d}, revision {revision:d} returns that zone {zone:w} is "
    "withdrawn"
)
def when_watch(context, epoch, revision, zone):
    changes = EvacuationChanges((ZoneChange(ZoneId(zone), False),))
    answer = ConfigUnchanged(position_of(epoch, revision), changes)
    context.store.answer("watch", answer)
    context.scheduler.run_for(1.0)


@then("its view has {zones} and its next call is a read")
def then_view_and_read(context, zones):
    then_view(context, zones)
    assert context.store.call == "read", context.store.call
