"""Steps for the placement of flows."""

import asyncio
import random
from types import SimpleNamespace
from unittest.mock import Mock

from behave import given, then, when

from wisteriatiller.exceptions import InvariantBroken
from wisteriatiller.foundation.tasks import EXIT_INVARIANT_BROKEN
from wisteriatiller.ids import HostId, ShardId, ZoneId
from wisteriatiller.leases.ownership import Ownership
from wisteriatiller.owners.flowmessages import Forward
from wisteriatiller.owners.flowplacement import FlowPlacer
from wisteriatiller.owners.shard import OwnedShard
from wisteriatiller.placement import PlacementTable, earlier_homes


def flow_keys(count):
    return [index.to_bytes(12, "big") for index in range(count)]


@given("a placement table of {count:d} upstreams")
def given_table(context, count):
    context.placement = PlacementTable((f"u{i}", 1.0) for i in range(count))


@given("a placement table with weights {first:g} and {second:g}")
def given_weighted_table(context, first, second):
    context.placement = PlacementTable((("a", first), ("b", second)))


@when("the last upstream is drained")
def when_drained(context):
    context.drained = context.placement.weights[-1][0]
    context.after = PlacementTable(context.placement.weights[:-1])


@then("of {count:d} flows only those of the drained upstream have a new home")
def then_only_drained_move(context, count):
    for key in flow_keys(count):
        before = context.placement.home(key)
        moved = before != context.after.home(key)
        assert moved == (before == context.drained), key


@then(
    "of {count:d} flows the second upstream is home to {percent:g} percent "
    "within {delta:g}"
)
def then_share(context, count, percent, delta):
    hits = sum(context.placement.home(key) == "b" for key in flow_keys(count))
    assert abs(hits * 100 / count - percent) <= delta, hits


@then("the earlier homes of {count:d} flows are the drained upstream once or empty")
def then_earlier_homes(context, count):
    earlier = [context.placement, context.after, context.placement]
    for key in flow_keys(count):
        moved = context.placement.home(key) == context.drained
        expected = [context.drained] if moved else []
        assert earlier_homes(key, context.after, earlier) == expected, key


@given("{count:d} hosts of a zone of which some join or leave {changes:d} times")
def given_changing_hosts(context, count, changes):
    """Keep the cached and the newly computed ranking of each shard at each change."""
    generator = random.Random(1)
    names = [HostId(f"host-{index}") for index in range(count)]
    live = set(names)
    membership = SimpleNamespace(live_hosts=lambda zone: tuple(sorted(live)))
    environment = SimpleNamespace(settings=SimpleNamespace(host_id=names[0]))
    ownership = Ownership(environment, membership)
    context.pairs = []
    for _ in range(changes):
        # 25 changes at once can exceed the limit of changes up to which a cached
        # ranking is updated instead of computed from scratch.
        for name in generator.sample(names, generator.choice((0, 1, 2, 25))):
            live.symmetric_difference_update((name,))
        for index in range(4):
            shard = ShardId(ZoneId("brest"), index)
            expected = Ownership(environment, membership).ranking(shard)
            context.pairs.append((ownership.ranking(shard), expected))


@then("the ranking of each shard always equals that of a newly started host")
def then_same_rankings(context):
    assert all(cached == expected for cached, expected in context.pairs)
    assert len(set(context.pairs)) > len(context.pairs) // 4


@when("a broken invariant is detected while a flow is being opened")
def when_invariant_breaks(context):
    async def claim_at_earlier_homes(forward, service):
        raise InvariantBroken("found by a test")

    opener = Mock(
        needs_claims=lambda forward, service: True,
        claim_at_earlier_homes=claim_at_earlier_homes,
    )
    homes = Mock(
        home=lambda service_id, flow_key: "u",
        reachable_home=lambda service_id, flow_key: "u",
    )
    placer = FlowPlacer(Mock(), Mock(), homes, opener, Mock(), Mock())
    forward = Forward(bytes(12), "u", 1, "h", False, "", 0, 0, b"")

    async def scenario():
        owned = OwnedShard(ShardId(ZoneId("z"), 0), Mock())
        placer.open(owned, forward, Mock(service_id="s"), Mock(upstream_id="u"))
        await asyncio.sleep(0.05)

    context.exit_status = 0
    try:
        asyncio.run(scenario())
    except SystemExit as stop:
        context.exit_status = stop.code


@then("the process exits with the status for a broken invariant")
def then_process_exits(context):
    assert context.exit_status == EXIT_INVARIANT_BROKEN, context.exit_status
