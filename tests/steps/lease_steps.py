"""Steps for the leases of ownership shards."""

import asyncio

from behave import given, then, when

from tests.fakes import run_virtual
from tests.faults import run_seed
from tests.fleet import wait_until
from tests.zone import ZONE, Zone
from wisteriatiller.leases.leasemessages import LeaseRelease, LeaseRequest

SEED = 11
START_LIMIT_S = 30.0
SETTLE_S = 5.0
TAKEOVER_LIMIT_S = 60.0


def run_zone(context, scenario, first=None):
    """Run ``scenario(zone)`` in a started zone of all hosts, or of the ``first`` ones.

    If the scenario returns no result, all faults are healed and the recovery is timed.
    """

    async def run():
        zone = Zone(SEED, context.host_count, context.lease_shards)
        await zone.start(zone.names[:first])
        assert await zone.wait_owned(START_LIMIT_S) is not None
        context.scenario_result = await scenario(zone)
        if context.scenario_result is None:
            zone.heal()
            context.recovered_s = await zone.wait_owned(60)
        zone.stop()
        return zone

    context.zone = run_virtual(run(), SEED)


@given("a zone of {hosts:d} hosts that lease {shards:d} ownership shards")
def given_zone(context, hosts, shards):
    context.host_count = hosts
    context.lease_shards = shards


@when("owner and backup are cut off from each other and consider each other dead")
def when_mutual_suspicion(context):
    async def scenario(zone):
        shard = zone.shards[0]
        (owner,) = zone.holders(shard)
        backup = zone.hosts[owner].ownership.backup(shard)
        cuts = zone.network.one_way_cuts
        cuts.update(((owner, backup), (backup, owner)))
        zone.hosts[owner].membership.believed_dead.add(backup)
        zone.hosts[backup].membership.believed_dead.add(owner)
        await asyncio.sleep(SETTLE_S * 6)
        # The owner keeps the lease: it still renews it at the other grantors.
        assert zone.holders(shard) == [owner], zone.holders(shard)
        for name in zone.names:
            for pair in ((owner, name), (name, owner)):
                cuts.add(pair)
                await asyncio.sleep(SETTLE_S)

    run_zone(context, scenario)


@when("the owner freezes for 1, 2, 2.8, 3.1, 5 and 30 seconds in turn")
def when_frozen(context):
    async def scenario(zone):
        for frozen_s in (1, 2, 2.8, 3.1, 5, 30):
            (owner,) = zone.holders(zone.shards[0])
            zone.freeze(owner)
            for host in zone.hosts.values():
                if host.host_id != owner:
                    host.membership.believed_dead.add(owner)
            await asyncio.sleep(frozen_s)
            zone.wake(owner)
            zone.observe_once()
            for host in zone.hosts.values():
                host.membership.believed_dead.clear()
            await asyncio.sleep(SETTLE_S * 2)

    run_zone(context, scenario)


@when("an owner whose clock is {percent:g} percent slower is cut off {times:d} times")
def when_slow_clock(context, percent, times):
    async def scenario(zone):
        for _ in range(times):
            for host in zone.hosts.values():
                host.clock.set_rate(1.0)
            (owner,) = zone.holders(zone.shards[0])
            zone.hosts[owner].clock.set_rate(1 - percent / 100)
            await asyncio.sleep(zone.random.uniform(1, 3))
            zone.partition([owner])
            await asyncio.sleep(SETTLE_S)
            zone.heal()
            await asyncio.sleep(SETTLE_S)

    run_zone(context, scenario)


@when("the owner is cut off and most grantors restart before its lease ends")
def when_restarts(context):
    async def scenario(zone):
        for _ in range(5):
            (owner,) = zone.holders(zone.shards[0])
            zone.partition([owner])
            for name in zone.names:
                if name != owner:
                    zone.boot(name).membership.believed_dead.add(owner)
                    await asyncio.sleep(0.05)
            assert zone.holders(zone.shards[0]) == [owner]
            await asyncio.sleep(SETTLE_S * 2)
            zone.heal()
            await asyncio.sleep(SETTLE_S)

    run_zone(context, scenario)


@when("more hosts join while the two grantors are cut off")
def when_view_grows_during_cut(context):
    async def scenario(zone):
        founders = zone.names[:2]
        await asyncio.sleep(SETTLE_S)
        (owner,) = zone.holders(zone.shards[0])
        await zone.list_hosts(zone.names)
        for name in zone.names[2:]:
            zone.boot(name)
        zone.partition(founders, cut_store=True)
        await asyncio.sleep(SETTLE_S * 4)
        views = [zone.hosts[name].views.view for name in (*founders, zone.names[2])]
        assert views[0] == views[1] and not views[0].former_members
        assert views[2].former_members == views[0].members
        # The others have a newer view, but it needs a majority of the former members.
        assert zone.holders(zone.shards[0]) == [owner], zone.holders(zone.shards[0])

    run_zone(context, scenario, first=2)


@when("the two first grantors restart where they reach only a host with their old view")
def when_stale_restart(context):
    async def scenario(zone):
        founders = zone.names[:2]
        stale = zone.names[2]
        zone.boot(stale)
        await asyncio.sleep(SETTLE_S)
        former = zone.hosts[stale].views.view
        zone.partition([stale], cut_store=True)
        await zone.list_hosts([name for name in zone.names if name != stale])
        for name in zone.names[3:]:
            zone.boot(name)
        await asyncio.sleep(SETTLE_S * 6)
        present = zone.hosts[founders[0]].views.view
        assert not present.former_members and len(present.members) == 5
        zone.network.heal()
        zone.partition([stale, *founders], cut_store=True)
        for name in founders:
            zone.boot(name)
        zone.hosts[stale].membership.believed_dead = set(zone.names) - {stale}
        await asyncio.sleep(SETTLE_S * 6)
        assert zone.hosts[founders[0]].views.view == former

    run_zone(context, scenario, first=2)


@when(
    "a host releases {count:d} later epochs, restarts and takes over as the owner stops"
)
def when_released_later_epochs(context, count):
    async def scenario(zone):
        (shard,) = zone.shards
        (owner,) = zone.holders(shard)
        name, other = (name for name in zone.names if name != owner)
        epoch = zone.hosts[owner].leases.epoch(shard)
        release = LeaseRelease(ZONE, ((shard.index, epoch + count),))
        await zone.hosts[name].environment.peers.call(other, release, 1.0)
        successor = zone.boot(name)
        # After this, the grants that it made before the restart have expired.
        await asyncio.sleep(SETTLE_S)
        assert zone.holders(shard) == [owner], zone.holders(shard)
        assert await zone.hosts[owner].leases.register_backup(shard, name)
        await zone.hosts[owner].leases.release(shard)
        zone.crash(owner)
        return await wait_until(
            lambda: (
                successor.leases.remaining_s(shard) > 0
                or not ensure_acquiring(successor, shard)
            ),
            TAKEOVER_LIMIT_S,
        )

    run_zone(context, scenario)


def ensure_acquiring(host, shard):
    """Start a task that acquires the lease, as the successor of a hand-over does."""
    if not getattr(host, "is_acquiring", False):
        host.is_acquiring = True

        async def acquire_until_held():
            while not await host.leases.try_acquire(shard):
                await asyncio.sleep(0.02)

        host.run(acquire_until_held())
    return True


@then("it holds the lease within {limit_s:g} seconds")
def then_holds(context, limit_s):
    assert context.scenario_result <= limit_s, context.scenario_result


@when("the store becomes unavailable and then the owner of a shard dies")
def when_store_unavailable(context):
    async def scenario(zone):
        zone.store.set_away(True)
        await asyncio.sleep(SETTLE_S)
        (owner,) = zone.holders(zone.shards[0])
        zone.crash(owner)
        for host in zone.hosts.values():
            host.membership.believed_dead.add(owner)
        recovered_s = await zone.wait_owned(60)
        restarted = zone.boot(owner)
        await asyncio.sleep(6)
        return recovered_s, restarted.grantor.is_abstaining

    run_zone(context, scenario)


@when("{seconds:d} seconds pass")
def when_seconds_pass(context, seconds):
    async def scenario(zone):
        sent = {}
        for host in zone.hosts.values():
            count_requests(host, sent)
        await asyncio.sleep(seconds)
        return {pair: count / seconds for pair, count in sent.items()}

    run_zone(context, scenario)


def count_requests(host, sent):
    call = host.environment.peers.call

    def counted(target, message, timeout_s):
        if isinstance(message, LeaseRequest):
            pair = (host.host_id, target)
            sent[pair] = sent.get(pair, 0) + 1
        return call(target, message, timeout_s)

    host.environment.peers.call = counted


@when(
    "{minutes:d} minutes of random faults pass on each of {seeds:d} seeds from "
    "{first:d}"
)
def when_random_faults(context, minutes, seeds, first):
    context.fault_runs = {
        seed: run_seed(seed, context.host_count, minutes * 60)
        for seed in range(first, first + seeds)
    }


@then("no two hosts held a lease at the same time")
def then_one_holder(context):
    assert context.zone.held_checks > 0
    assert context.zone.violations == [], context.zone.violations[:5]


@then("after healing each shard has an owner within {limit_s:g} seconds")
def then_recovered(context, limit_s):
    assert context.recovered_s is not None
    assert context.recovered_s <= limit_s, context.recovered_s


@then("the shards have owners within {limit_s:g} seconds")
def then_owned_without_store(context, limit_s):
    recovered_s, _ = context.scenario_result
    assert recovered_s is not None and recovered_s <= limit_s, recovered_s


@then("a host that restarts in the meantime grants again within 6 seconds")
def then_grants_again(context):
    _, is_abstaining = context.scenario_result
    assert not is_abstaining


@then("no host sent more than {rate:g} renewal messages a second to a grantor")
def then_message_rate(context, rate):
    assert context.scenario_result
    assert max(context.scenario_result.values()) <= rate, context.scenario_result


@then("no two hosts held a lease at the same time on any seed")
def then_one_holder_on_seeds(context):
    for seed, (zone, _) in context.fault_runs.items():
        assert zone.held_checks > 0
        assert zone.violations == [], (seed, zone.violations[:5])


@then("on each seed each shard had an owner within {limit_s:g} seconds after healing")
def then_recovered_on_seeds(context, limit_s):
    for seed, (_, recovered_s) in context.fault_runs.items():
        assert recovered_s is not None and recovered_s <= limit_s, (seed, recovered_s)
