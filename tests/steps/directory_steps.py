"""Steps for the directory of upstreams."""

import random

from behave import given, then, when
from hypothesis import given as hypothesis_given, settings, strategies

from testbed.steeringparts import upstream
from tests.steeringworld import SteeringWorld, listing, opening
from wisteriatiller.ids import Address
from wisteriatiller.steering import Listing, UpstreamState
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import Verdict
from wisteriatiller.steering.upstreams import NO_LISTING

OTHER = Address("10.128.0.77", 8080)


def named(number):
    return f"i-{number}"


def entry(context, number):
    return context.world.directory.get(named(number))


def taking(context):
    return context.world.directory.of_service("stock")


@given("a directory with upstreams 1, 2 and 3")
def given_directory(context):
    context.upstreams = {number: upstream(str(number)) for number in (1, 2, 3)}
    context.world = SteeringWorld(entries=context.upstreams.values())


@when("upstream {number:d} drains")
def when_drains(context, number):
    draining = context.upstreams[number]._replace(state=UpstreamState.DRAINING)
    context.world.list(*{**context.upstreams, number: draining}.values())


@when("the listing from before comes again")
def when_again(context):
    old = listing(context.world.revision - 1, *context.upstreams.values())
    assert context.world.directory.apply(old, context.world.now_s) is None


@when("the store is lost")
def when_lost(context):
    context.world.directory.store_lost()


@when(
    "upstream {number:d} is missing and the store was steady for {steady_s:d} seconds"
)
def when_missing(context, number, steady_s):
    rest = [made for key, made in context.upstreams.items() if key != number]
    context.world.list(*rest, steady_s=steady_s)


@when("all upstreams are missing and the store was steady for {steady_s:d} seconds")
def when_all_missing(context, steady_s):
    context.world.list(steady_s=steady_s)


@when("the listing is confirmed {later_s:d} seconds later")
def when_confirmed(context, later_s):
    context.world.now_s += later_s
    context.world.directory.confirm(context.world.now_s, later_s, 0.0)


@when("upstream {number:d} is listed again")
def when_listed(context, number):
    context.world.list(*context.upstreams.values(), steady_s=1.0)


@when("the entry of upstream {number:d} cannot be read")
def when_unreadable(context, number):
    rest = [made for key, made in context.upstreams.items() if key != number]
    context.world.list(*rest, unreadable=[named(number)])


@when("upstream {number:d} starts again at another address")
def when_restarts(context, number):
    for copy in (0, 1):
        context.world.steer(opening(7, retransmit_count=copy), after_s=0.3)
    again = context.upstreams[number]._replace(address=OTHER, started_ms=2)
    context.world.list(*{**context.upstreams, number: again}.values())


@then("upstream {number:d} takes no new flows")
def then_takes_none(context, number):
    assert entry(context, number) not in taking(context)


@then("upstream {number:d} takes new flows")
def then_takes(context, number):
    assert entry(context, number) in taking(context)


@then("{count:d} upstreams take new flows")
def then_count(context, count):
    assert len(taking(context)) == count, taking(context)


@then("upstream {number:d} is {presence:w}")
def then_presence(context, number, presence):
    found = entry(context, number).presence.value
    assert found == presence, found


@then("upstream {number:d} has the other address")
def then_address(context, number):
    assert entry(context, number).upstream.address == OTHER


@then("nothing is held against upstream {number:d}")
def then_clean(context, number):
    evidence = context.world.steering.evidence.of(named(number))
    assert evidence.verdict is Verdict.TRUSTED
    assert evidence.complaining_flows() == 0


@then("{orders:d} random orders of {count:d} listings lead to the state of the newest")
def then_orders(context, orders, count):
    for seed in range(orders):
        rng = random.Random(seed)
        listings = [
            listing(
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
            directory.apply(one, 10.0 * step, steady_s=60.0)
        ready = {made for made in newest.upstreams if made.state is UpstreamState.READY}
        found = {entry.upstream for entry in directory.of_service("stock")}
        assert found == ready, seed


@given("a directory that has just read its listing")
def given_just_read(context):
    context.directory = UpstreamDirectory()
    context.directory.apply(listing(1, upstream("1")), 1000.0, steady_s=60.0)


@when("a peer confirms the same listing, read {age_s:g} seconds ago")
def when_confirms(context, age_s):
    context.directory.confirm(1000.0, steady_s=60.0, age_s=age_s)


@then("the listing is {age_s:g} seconds old")
def then_age(context, age_s):
    assert context.directory.age_s(1000.0) == age_s


class StoreHistory:
    """Entries by revision; a listing has two pages, which may differ in age."""

    NAMES = "abcdef"
    PAGE_BEGINS = "d"

    def __init__(self):
        self.states = [{}]

    def change(self, name, slots):
        state = dict(self.states[-1])
        if slots:
            state[name] = upstream(name, slots=slots)
        else:
            state.pop(name, None)
        self.states.append(state)

    def read(self, behind, gap):
        last = max(0, len(self.states) - 1 - behind)
        first = max(0, last - gap)
        entries = [
            made
            for name, made in sorted(self.states[first].items())
            if name < self.PAGE_BEGINS
        ]
        entries += [
            made
            for name, made in sorted(self.states[last].items())
            if name >= self.PAGE_BEGINS
        ]
        # Revisions of a store begin above 0.
        return Listing((first + 1, last + 1), tuple(entries), frozenset())


def share(giver, taker):
    """Pass on what the taker lacks, as between hosts."""
    if giver.listing is None or giver.revision <= taker.revision:
        return
    taken = giver.update_since(taker.version).apply_to(taker.listing)
    assert taken is not None
    taker.apply(taken, 1000.0, steady_s=60.0)


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
SHARES = strategies.tuples(
    strategies.just("share"),
    strategies.integers(0, HOSTS - 1),
    strategies.integers(0, HOSTS - 1),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@hypothesis_given(
    strategies.lists(strategies.one_of(CHANGES, READS, SHARES), max_size=40),
    strategies.integers(0, 2),
)
def check_histories(steps, gap):
    store = StoreHistory()
    hosts = [UpstreamDirectory() for _ in range(HOSTS)]
    for kind, first, second in steps:
        if kind == "change":
            store.change(first, second)
        elif kind == "read":
            hosts[first].apply(store.read(second, gap), 1000.0, steady_s=60.0)
        else:
            share(hosts[first], hosts[second])
    hosts[0].apply(store.read(0, 0), 1000.0, steady_s=60.0)
    for host in hosts[1:]:
        share(hosts[0], host)
        assert set(host.listing.upstreams) == set(store.states[-1].values())


@then("any history of changes, reads and exchanges ends with the store's entries")
def then_any_history(context):
    check_histories()


@given("a directory of {count:d} upstreams that a follower has too")
def given_followed(context, count):
    context.upstreams = [upstream(f"{number:x}") for number in range(count)]
    context.directory = UpstreamDirectory()
    context.directory.apply(listing(1, *context.upstreams), 1000.0, steady_s=60.0)
    context.first_version = context.directory.version


@when("one upstream changes and another one leaves")
def when_changes(context):
    changed = context.upstreams[0]._replace(state=UpstreamState.DRAINING)
    left = listing(2, changed, *context.upstreams[2:])
    context.directory.apply(left, 1001.0, steady_s=60.0)


@then("the follower gets {entries:d} entry and {missing:d} missing name")
def then_follower_gets(context, entries, missing):
    update = context.directory.update_since(context.first_version)
    assert (len(update.upstreams), len(update.missing)) == (entries, missing), update


@then("a host without a listing gets {entries:d} entries")
def then_newcomer_gets(context, entries):
    update = context.directory.update_since(NO_LISTING)
    assert len(update.upstreams) == entries
    assert update.base is None
