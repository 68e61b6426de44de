"""Steps for the bound of drains."""

import random

from behave import given, then, when

from testbed.steeringparts import VirtualScheduler, steering_settings, upstream
from tests.sharingfleet import single_route_config, start_fleet
from tests.steeringfakes import SimulatedFleet
from wisteriatiller.steering import UpstreamState
from wisteriatiller.steering.directorypoller import CURRENT_LISTING_EVERY
from wisteriatiller.steering.sharing import MAX_READERS_TRIED
from wisteriatiller.steering.storepolling import JITTER

DRAIN_BOUND_S = 3.0
CONFIG_BOUND_S = 3.0
WARM_UP_S = 12.0
FREEZE_S = 2.0
# The first numbers, and so the first addresses, are left to replacements.
FIRST_NUMBER = 10
# From before a fault is noticed to after a change is known.
FAULT_FROM_CHANGE_S = (-2.6, 0.6)
DRAIN_PAUSE_S = (3.1, 5.0)
CHECK_INTERVAL_S = 0.1
PAGE_LAG_S = 6.0
CHANGE_INTERVAL_S = 4.0


def offers_new_flows(host, name):
    """Whether a host would open flows at an upstream."""
    eligible = host.directory.eligible_entries("stock")
    return any(entry.upstream.upstream_id == f"i-{name}" for entry in eligible)


class Zone:
    """The hosts of one zone, and the drains that they have not known in time."""

    def __init__(self, seed, host_count, stale_read_lag_s):
        random.seed(seed)
        self._rng = random.Random(f"faults of {seed}")
        self.scheduler = VirtualScheduler()
        self.fleet = SimulatedFleet(self.scheduler)
        self.fleet.store.put_config(single_route_config(1))
        self.put_upstream(UpstreamState.READY)
        first = self.fleet.host_settings(FIRST_NUMBER, "a").control_listen
        for number in range(host_count):
            self.fleet.add_host("a", (first,), FIRST_NUMBER + number)
        self.others = list(self.fleet.hosts)
        self.seed = seed
        self.late = []
        self.scheduler.run_for(WARM_UP_S + self._rng.random())
        self.fleet.store.stale_read_lag_s = stale_read_lag_s

    def put_upstream(self, state, changed="1"):
        upstreams = [
            upstream(name, state=state if name == changed else UpstreamState.READY)
            for name in ("1", "2")
        ]
        self.fleet.store.put_upstreams(self.scheduler.now_s(), *upstreams)

    def drain(self, name="1"):
        """Let an upstream drain; note the hosts that do not know it in time."""
        self.put_upstream(UpstreamState.DRAINING, name)
        self._note_late(DRAIN_BOUND_S, lambda host: offers_new_flows(host, name))

    def change_routes(self):
        """Change the configuration; note the hosts that do not have it in time."""
        self.fleet.store.put_config(single_route_config(2))
        self._note_late(CONFIG_BOUND_S, lambda host: host.view.version < 2)

    def _note_late(self, bound_s, is_late):
        changed_at_s = round(self.scheduler.now_s(), 2)

        def check():
            self.late += [
                (self.seed, host.name, changed_at_s)
                for host in self.others
                if is_late(host)
            ]

        self.scheduler.call_later(bound_s, check)

    def disturb(self, count, fault):
        """Disturb the first hosts, which then need not keep the bound."""
        first, self.others = self.others[:count], self.others[count:]
        for host in first:
            if fault == "cut off":
                for other in self.others:
                    self.fleet.partition(host, other)
            elif fault == "frozen":
                host.suspend()
                self.scheduler.call_later(FREEZE_S, host.resume)
            else:
                host.kill()
        if fault == "replaced":
            seeds = tuple(host.settings.control_listen for host in self.others[:3])
            for number in range(1, count + 1):
                self.fleet.add_host("a", seeds, number)

    def change_beside_fault(self, change, count, fault):
        """Make a change, and disturb hosts a moment before or after it."""
        self.scheduler.call_later(-FAULT_FROM_CHANGE_S[0], change)
        fault_after_s = self._rng.uniform(*FAULT_FROM_CHANGE_S) - FAULT_FROM_CHANGE_S[0]
        self.scheduler.call_later(fault_after_s, lambda: self.disturb(count, fault))
        bound_s = max(DRAIN_BOUND_S, CONFIG_BOUND_S)
        self.scheduler.run_for(-FAULT_FROM_CHANGE_S[0] + bound_s + 0.1)

    def drain_repeatedly(self, duration_s, name="1"):
        end_s = self.scheduler.now_s() + duration_s
        while self.scheduler.now_s() < end_s:
            self.drain(name)
            returns_at_s = self.scheduler.now_s() + self._rng.uniform(*DRAIN_PAUSE_S)
            self.scheduler.run_for(DRAIN_BOUND_S)
            while self.scheduler.now_s() < returns_at_s:
                self._note_late(0.0, lambda host: offers_new_flows(host, name))
                self.scheduler.run_for(CHECK_INTERVAL_S)
            self.put_upstream(UpstreamState.READY)
            self.scheduler.run_for(self._rng.uniform(*DRAIN_PAUSE_S))

    def start_host_after_drain(self):
        self.drain()
        self.disturb(3, "dark")
        self.scheduler.run_for(self._rng.uniform(0.0, DRAIN_BOUND_S - 0.2))
        seeds = tuple(host.settings.control_listen for host in self.fleet.hosts[:4])
        self.others.append(self.fleet.add_host("a", seeds, FIRST_NUMBER + 50))
        self.scheduler.run_for(DRAIN_BOUND_S + 0.1)


@given("{count:d} hosts in one zone whose stale reads lag by {lag_s:d} seconds")
def given_zone(context, count, lag_s):
    context.make_zone = lambda seed: Zone(seed, count, lag_s)


@given("{count:d} hosts in one zone whose stale pages lag by {lags_s} seconds in turn")
def given_zone_of_pages(context, count, lags_s):
    def make_zone(seed):
        zone = Zone(seed, count, stale_read_lag_s=0.0)
        zone.fleet.store.stale_page_lags_s = tuple(map(float, lags_s.split(", ")))
        return zone

    context.make_zone = make_zone


@when("upstream {name} drains and returns again and again for {duration_s:d} seconds")
def when_drains_repeatedly(context, name, duration_s):
    context.zones = [context.make_zone(seed) for seed in range(4)]
    for zone in context.zones:
        zone.drain_repeatedly(duration_s, name)


def count_calls(context, page_lags_s, has_changes, duration_s=60.0):
    """The calls of a fleet to the store in some time."""
    start_fleet(context, is_store_silent=False)
    store = context.fleet.store
    context.scheduler.run_for(WARM_UP_S)
    store.stale_page_lags_s = page_lags_s
    calls_before = store.calls
    end_s = context.scheduler.now_s() + duration_s
    while context.scheduler.now_s() < end_s:
        if has_changes:
            store.put_upstreams(context.scheduler.now_s(), *store.upstreams)
        context.scheduler.run_for(CHANGE_INTERVAL_S)
    return store.calls - calls_before


@then("stale pages of different ages cost no call {when}")
def then_no_calls_added(context, when):
    has_changes = {"in quiet times": False, "while entries change": True}[when]
    even = count_calls(context, (), has_changes)
    for page_lags_s in ((0.0, PAGE_LAG_S), (PAGE_LAG_S, 0.0), (PAGE_LAG_S,)):
        uneven = count_calls(context, page_lags_s, has_changes)
        assert uneven <= even, (page_lags_s, uneven, even)


@when("the first {count:d} hosts are {fault} at {moments:d} moments around a drain")
def when_disturbed(context, count, fault, moments):
    context.zones = [context.make_zone(seed) for seed in range(moments)]
    for zone in context.zones:
        zone.change_beside_fault(zone.drain, count, fault)


@when(
    "the first {count:d} hosts are {fault} at {moments:d} moments around a change of "
    "routes"
)
def when_disturbed_around_change(context, count, fault, moments):
    context.zones = [context.make_zone(seed) for seed in range(moments)]
    for zone in context.zones:
        zone.change_beside_fault(zone.change_routes, count, fault)


@when(
    "the first {count:d} hosts are removed and an upstream drains and returns for "
    "{duration_s:d} seconds"
)
def when_removed(context, count, duration_s):
    context.zones = [context.make_zone(seed) for seed in range(4)]
    for zone in context.zones:
        zone.disturb(count, "dark")
        zone.drain_repeatedly(duration_s)


@when(
    "a host starts at {moments:d} moments after a drain while the first 3 hosts are "
    "dark"
)
def when_host_starts(context, moments):
    context.zones = [context.make_zone(seed) for seed in range(moments)]
    for zone in context.zones:
        zone.start_host_after_drain()


@then("every other host has each change within 3 seconds")
@then("every other host knows each drain within 3 seconds")
def then_known(context):
    late = [found for zone in context.zones for found in zone.late]
    assert not late, (len(late), late[:5])


@then(
    "with a drain bound of {bound_s:g} seconds a listing is read anew {left_s:g} "
    "seconds before its end"
)
def then_time_left(context, bound_s, left_s):
    context.settings = steering_settings(drain_bound_s=bound_s)
    found_s = bound_s - context.settings.listing_deadline_s
    assert found_s == left_s, found_s
    # A connection that fails at once is followed by a second try.
    assert context.settings.store_retry_s * (1.0 + JITTER) < left_s


@then(
    "a host asks others for at most the bound of configurations less {left_s:g} seconds"
)
def then_asks_others(context, left_s):
    settings = steering_settings()
    asked_s = settings.share_interval_s + MAX_READERS_TRIED * settings.peer_timeout_s
    assert asked_s <= settings.watched_bound_s - left_s, asked_s


@then("in quiet times a listing is confirmed before that")
def then_confirmed(context):
    settings = context.settings
    reader_s = CURRENT_LISTING_EVERY * settings.listing_interval_s * (1.0 + JITTER)
    assert reader_s + settings.share_interval_s < settings.listing_deadline_s


@given("{hosts:d} sharing hosts in {zones:d} zones in quiet times")
def given_quiet(context, hosts, zones):
    start_fleet(context, is_store_silent=False, hosts=hosts, zones="abc"[:zones])
    context.scheduler.run_for(WARM_UP_S)


@then("no listing becomes overdue in {duration_s:d} seconds")
def then_not_overdue(context, duration_s):
    before = sum(host.observer.overdue_listings for host in context.fleet.hosts)
    context.scheduler.run_for(duration_s)
    after = sum(host.observer.overdue_listings for host in context.fleet.hosts)
    assert after == before, (before, after)
