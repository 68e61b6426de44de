"""Steps for the directory of upstreams."""

import random

from behave import given, then, when

from tests.steeringworld import SteeringWorld, listing, opening, upstream
from wisteriatiller.ids import Address
from wisteriatiller.steering import UpstreamState
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import Verdict

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
        context.world.steer(opening(7, copy=copy), after_s=0.3)
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
