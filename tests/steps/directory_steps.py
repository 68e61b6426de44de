"""Steps for the upstream directory."""

import random

from behave import given, then, when
from hypothesis import given as hypothesis_given, settings, strategies

from testbed.steeringparts import upstream
from tests.steeringharness import SteeringHarness, make_listing, opening_packet
from wisteriatiller.ids import Address, Revision
from wisteriatiller.steering import Listing, UpstreamState
from wisteriatiller.steering.directory import Presence, UpstreamDirectory
from wisteriatiller.steering.evidence import HealthState
from wisteriatiller.steering.listingpages import ListingPage, join_pages
from wisteriatiller.steering.upstreams import NO_LISTING

OTHER_ADDRESS = Address("10.128.0.77", 8080)


def upstream_id(number):
    return f"i-{number}"


def entry(context, number):
    return context.world.directory.get(upstream_id(number))


def eligible(context):
    return context.world.directory.eligible_entries("stock")


@given("a directory with upstreams 1, 2 and 3")
def given_directory(context):
    context.upstreams = {number: upstream(str(number)) for number in (1, 2, 3)}
    context.world = SteeringHarness(upstreams=context.upstreams.values())


@given("an entry of another writer, for a service that no route names")
def given_other_writer(context):
    context.upstreams["odd"] = upstream("77", service="inventory")
    context.world.apply_listing(*context.upstreams.values())


@when("upstream {number:d} drains")
def when_drains(context, number):
    draining = context.upstreams[number]._replace(state=UpstreamState.DRAINING)
    context.world.apply_listing(*{**context.upstreams, number: draining}.values())


def check_rejected(context, listing):
    applied = context.world.directory.apply(listing, context.world.now_s)
    assert applied.outdated is not None and applied.outdated.is_whole, applied
    assert not applied.changes, applied


@when("the previous listing is applied again")
def when_previous_again(context):
    old = make_listing(
        context.world.listing_revision - 1,
        *context.upstreams.values(),
        epoch=context.world.store_epoch,
    )
    check_rejected(context, old)


@when("the store is restored and upstream {number:d} drains")
def when_restored_and_drains(context, number):
    draining = context.upstreams[number]._replace(state=UpstreamState.DRAINING)
    context.world.restore_store()
    context.world.apply_listing(*{**context.upstreams, number: draining}.values())


@when("a listing of the lost history is applied, {ahead:d} revisions further")
def when_lost_history(context, ahead):
    lost = make_listing(
        context.world.listing_revision + ahead,
        *context.upstreams.values(),
        epoch=context.world.store_epoch - 1,
    )
    check_rejected(context, lost)


@when("the store is restored to a copy without upstream {number:d}")
def when_restored_without(context, number):
    rest = [made for key, made in context.upstreams.items() if key != number]
    context.world.restore_store()
    context.world.apply_listing(*rest, store_healthy_s=0.0)


@when("a peer brings a listing of a new epoch without upstream {number:d}")
def when_peer_brings_epoch(context, number):
    rest = [made for key, made in context.upstreams.items() if key != number]
    context.world.restore_store()
    context.world.apply_listing(*rest, store_healthy_s=60.0)


@when(
    "a peer brings a listing of a new epoch without upstream {number:d} to a host "
    "without store"
)
def when_peer_brings_epoch_to_lost(context, number):
    rest = [made for key, made in context.upstreams.items() if key != number]
    context.world.restore_store()
    context.world.apply_listing(*rest, store_healthy_s=None)


@when("the same listing is confirmed by a peer {later_s:d} seconds later")
def when_confirmed_by_peer(context, later_s):
    context.world.now_s += later_s
    context.world.directory.confirm(context.world.now_s, None, 0.0)


@when("the store is restored to a copy with all upstreams")
def when_restored_with_all(context):
    context.world.restore_store()
    context.world.apply_listing(*context.upstreams.values(), store_healthy_s=0.0)


@when("the store is restored and upstream {number:d} restarts")
def when_restored_and_restarts(context, number):
    again = context.upstreams[number]._replace(started_ms=2)
    context.world.restore_store()
    context.world.apply_listing(
        *{**context.upstreams, number: again}.values(), store_healthy_s=0.0
    )


@when("the store is lost")
def when_lost(context):
    context.world.directory.mark_store_lost()


@when(
    "upstream {number:d} is missing and the store has been healthy for {healthy_s:d} "
    "seconds"
)
def when_missing(context, number, healthy_s):
    rest = [made for key, made in context.upstreams.items() if key != number]
    context.world.apply_listing(*rest, store_healthy_s=healthy_s)


@when(
    "all upstreams are missing and the store has been healthy for {healthy_s:d} seconds"
)
def when_all_missing(context, healthy_s):
    context.world.apply_listing(store_healthy_s=healthy_s)


@when(
    "only the other writer's entry is left and the store has been healthy for "
    "{healthy_s:d} seconds"
)
def when_only_odd_left(context, healthy_s):
    context.world.apply_listing(context.upstreams["odd"], store_healthy_s=healthy_s)


@when("all upstreams drain")
def when_all_drain(context):
    context.world.apply_listing(
        *(
            made._replace(state=UpstreamState.DRAINING)
            for made in context.upstreams.values()
        )
    )


@then("upstream {number:d} does not count as one that has left")
def then_not_left(context, number):
    assert not context.world.directory.get(upstream_id(number)).has_left


@when("the listing is confirmed {later_s:d} seconds later")
def when_confirmed(context, later_s):
    context.world.now_s += later_s
    context.world.directory.confirm(context.world.now_s, later_s, 0.0)


@when("upstream {number:d} is listed again")
def when_listed(context, number):
    context.world.apply_listing(*context.upstreams.values(), store_healthy_s=1.0)


@when("the entry of upstream {number:d} cannot be parsed")
def when_unreadable(context, number):
    rest = [made for key, made in context.upstreams.items() if key != number]
    context.world.apply_listing(*rest, unreadable=[upstream_id(number)])


@when("upstream {number:d} restarts at another address")
def when_restarts(context, number):
    for copy in (0, 1):
        context.world.steer(opening_packet(7, retransmit_count=copy), after_s=0.3)
    again = context.upstreams[number]._replace(address=OTHER_ADDRESS, started_ms=2)
    context.world.apply_listing(*{**context.upstreams, number: again}.values())


@then("upstream {number:d} takes no new flows")
def then_ineligible(context, number):
    assert entry(context, number) not in eligible(context)


@then("upstream {number:d} takes new flows")
def then_eligible(context, number):
    assert entry(context, number) in eligible(context)


@then("{count:d} upstreams take new flows")
def then_count(context, count):
    assert len(eligible(context)) == count, eligible(context)


@then("upstream {number:d} is {presence:w}")
def then_presence(context, number, presence):
    found = entry(context, number).presence.value
    assert found == presence, found


@then("upstream {number:d} has the other address")
def then_address(context, number):
    assert entry(context, number).upstream.address == OTHER_ADDRESS


@then("upstream {number:d} is trusted and has no recorded retransmissions")
def then_trusted(context, number):
    health = context.world.steering.outliers.health_of(upstream_id(number))
    assert health.state is HealthState.TRUSTED
    assert health.retransmitting_flows() == 0


@then("{orders:d} random orders of {count:d} listings end with the newest listing")
def then_orders(context, orders, count):
    for seed in range(orders):
        rng = random.Random(seed)
        listings = [
            make_listing(
                revision,
                *(
                    upstream(str(n), state=rng.choice(list(UpstreamState)))
                    for n in range(5)
                    if rng.random() < 0.7
                ),
            )
            for revision in range(1, count + 1)
        ]
        newest = listings[-1]
        rng.shuffle(listings)
        directory = UpstreamDirectory()
        for step, one in enumerate(listings):
            directory.apply(one, 10.0 * step, store_healthy_s=60.0)
        ready = {made for made in newest.upstreams if made.state is UpstreamState.READY}
        found = {entry.upstream for entry in directory.eligible_entries("stock")}
        assert found == ready, seed


@given("a directory that has just read its listing")
def given_just_read(context):
    context.directory = UpstreamDirectory()
    context.directory.apply(
        make_listing(1, upstream("1")), 1000.0, store_healthy_s=60.0
    )


@when("a peer confirms the same listing, read {age_s:g} seconds ago")
def when_confirms(context, age_s):
    context.directory.confirm(1000.0, store_healthy_s=60.0, age_s=age_s)


@then("the listing is {age_s:g} seconds old")
def then_age(context, age_s):
    assert context.directory.age_s(1000.0) == age_s


# The last id of the first page.
SECOND_PAGE_AFTER = b"i-c"


class StoreHistory:
    """The store's entries at each revision of each epoch.

    A listing has two pages, of which the first may be older.
    """

    NAMES = "abcdef"
    SECOND_PAGE_START = "d"

    def __init__(self):
        self.epochs = [[{}]]

    @property
    def states(self):
        return self.epochs[-1]

    def restore(self, lost):
        """Go back by some revisions, which the next epoch gives out again."""
        self.epochs.append(self.states[: max(1, len(self.states) - lost)])

    def change(self, name, slots):
        state = dict(self.states[-1])
        if slots:
            made_state = UpstreamState.DRAINING if slots > 1 else UpstreamState.READY
            state[name] = upstream(name, slots=slots, state=made_state)
        else:
            state.pop(name, None)
        self.states.append(state)

    def read(self, lag, page_gap, epochs_back=0):
        epoch = max(1, len(self.epochs) - epochs_back)
        states = self.epochs[epoch - 1]
        last = max(0, len(states) - 1 - lag)
        first = max(0, last - page_gap)
        entries = [
            made
            for name, made in sorted(states[first].items())
            if name < self.SECOND_PAGE_START
        ]
        entries += [
            made
            for name, made in sorted(states[last].items())
            if name >= self.SECOND_PAGE_START
        ]
        # Revisions of a store begin above 0.
        pages = (
            ListingPage(Revision(first + 1), SECOND_PAGE_AFTER),
            ListingPage(Revision(last + 1), None),
        )
        return Listing(join_pages(pages), tuple(entries), frozenset(), epoch)


def send_delta(sender, receiver):
    """Send the delta that the receiver lacks, as hosts do."""
    if sender.listing is None or receiver.includes(
        sender.version, sender.newest_position
    ):
        return
    received = sender.delta_since(receiver.version).apply_to(receiver.listing)
    assert received is not None
    receiver.apply(received, 1000.0, store_healthy_s=0.0)


HOSTS = 3
CHANGES = strategies.tuples(
    strategies.just("change"),
    strategies.sampled_from(StoreHistory.NAMES),
    strategies.integers(0, 2),
)
READS = strategies.tuples(
    strategies.just("read"),
    strategies.integers(0, HOSTS - 1),
    strategies.integers(0, 3),
)
STALE_READS = strategies.tuples(
    strategies.just("read_lost_epoch"),
    strategies.integers(0, HOSTS - 1),
    strategies.integers(0, 3),
)
RESTORES = strategies.tuples(
    strategies.just("restore"), strategies.integers(1, 6), strategies.just(None)
)
DELTAS = strategies.tuples(
    strategies.just("share"),
    strategies.integers(0, HOSTS - 1),
    strategies.integers(0, HOSTS - 1),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@hypothesis_given(
    strategies.lists(
        strategies.one_of(CHANGES, READS, STALE_READS, RESTORES, DELTAS), max_size=40
    ),
    strategies.integers(0, 2),
)
def check_histories(steps, page_gap):
    store = StoreHistory()
    hosts = [UpstreamDirectory() for _ in range(HOSTS)]
    for kind, first, second in steps:
        if kind == "change":
            store.change(first, second)
        elif kind == "restore":
            store.restore(lost=first)
        elif kind.startswith("read"):
            epochs_back = 1 if kind == "read_lost_epoch" else 0
            read = store.read(second, page_gap, epochs_back)
            hosts[first].apply(read, 1000.0, store_healthy_s=0.0)
        else:
            send_delta(hosts[first], hosts[second])
    hosts[0].apply(store.read(0, 0), 1000.0, store_healthy_s=0.0)
    newest = set(store.states[-1].values())
    for host in hosts[1:]:
        send_delta(hosts[0], host)
        assert set(host.listing.upstreams) == newest
        listed = {
            entry.upstream
            for entry in host.entries()
            if entry.presence is Presence.LISTED
        }
        assert listed == newest


@then("any history of changes, reads and exchanges ends with the store's entries")
def then_any_history(context):
    check_histories()


@given("a directory of {count:d} upstreams that a follower has copied")
def given_copied(context, count):
    context.upstreams = [upstream(f"{number:x}") for number in range(count)]
    context.directory = UpstreamDirectory()
    context.directory.apply(
        make_listing(1, *context.upstreams), 1000.0, store_healthy_s=60.0
    )
    context.first_version = context.directory.version


@when("one upstream changes and another one leaves")
def when_changes(context):
    changed = context.upstreams[0]._replace(state=UpstreamState.DRAINING)
    left = make_listing(2, changed, *context.upstreams[2:])
    context.directory.apply(left, 1001.0, store_healthy_s=60.0)


@then("the follower gets a delta of {entries:d} entry and {missing:d} removed id")
def then_follower_gets(context, entries, missing):
    delta = context.directory.delta_since(context.first_version)
    assert (len(delta.upstreams), len(delta.removed)) == (entries, missing), delta


@then("a host without a listing gets {entries:d} entries")
def then_newcomer_gets(context, entries):
    delta = context.directory.delta_since(NO_LISTING)
    assert len(delta.upstreams) == entries
    assert delta.base is None
