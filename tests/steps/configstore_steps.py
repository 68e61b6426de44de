"""Steps for submitting and following the configuration.

All hosts of a scenario run on one virtual-time loop. Gossip is a fake that reaches each
live host after a random delay; membership.feature tests the real one.
"""

import asyncio
import json
import random

from behave import given, then, when

from tests import configurations
from tests.fakes import FakeNetwork, FakeStore, run_virtual
from wisteriatiller.configuration.configrecord import encode_record, next_record
from wisteriatiller.configuration.configtext import load_text
from wisteriatiller.configuration.textparse import TextProblems
from wisteriatiller.ids import HostId, Revision, ZoneId
from wisteriatiller.membership.membership import Membership
from wisteriatiller.outcomes import Conflict, StoreUnavailable
from wisteriatiller.store.configfollower import NO_RECORD, ConfigFollower
from wisteriatiller.store.submission import (
    Submitted,
    check_successor,
    new_submission_id,
    read_record,
    submit,
)


class GossipHub:
    """Delivers each published value to all hosts after up to a second."""

    def __init__(self, seed):
        self.members = {}
        self.random = random.Random(seed)
        self.newest = {}

    def disseminate(self, key, version, value):
        if self.newest.get(key, (0, None))[0] >= version:
            return
        self.newest[key] = (version, value)
        for member in self.members.values():
            delay_s = self.random.uniform(0.01, 1.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, member.receive, key, version, value)


class HubMembership(Membership):
    """The membership of one host; every host of the hub is live."""

    def __init__(self, hub, host_id, zone):
        self.hub, self.host_id, self.zone = hub, host_id, zone
        self.values, self.listeners = {}, []

    def join(self):
        self.hub.members[self.host_id] = self
        for key, (version, value) in self.hub.newest.items():
            asyncio.get_running_loop().call_later(
                0.5, self.receive, key, version, value
            )

    def receive(self, key, version, value):
        if self.values.get(key, (0, None))[0] < version:
            self.values[key] = (version, value)
            for listener in self.listeners:
                listener(key, version, value)

    def live_hosts(self, zone):
        members = self.hub.members.values()
        return tuple(m.host_id for m in members if m.zone == zone)

    def is_zone_reachable(self, zone):
        return True

    def is_live(self, host_id):
        return host_id in self.hub.members

    def address_of(self, host_id):
        return None

    def publish(self, key, version, value):
        self.receive(key, version, value)
        self.hub.disseminate(key, version, value)

    def gossiped_value(self, key):
        return self.values.get(key)

    def subscribe(self, prefix, listener):
        self.listeners.append(listener)


class Fleet:
    """Hosts that follow the configuration of one fake store."""

    def __init__(self, zones, hosts, seed=1):
        self.network = FakeNetwork(seed=seed)
        self.store = FakeStore()
        self.hub = GossipHub(seed)
        self.names = [
            (f"{zone}-{i}", f"zone-{zone}")
            for zone in range(zones)
            for i in range(hosts)
        ]
        self.followers, self.tasks, self.applied_revisions = {}, {}, {}
        self.actions, self.outcomes = [], []
        self.snapshot = None

    def start(self, host_id, zone, run=True):
        environment = self.network.environment(host_id, zone, self.store)
        membership = HubMembership(self.hub, HostId(host_id), ZoneId(zone))
        follower = ConfigFollower(environment, membership)
        membership.join()
        self.followers[host_id] = follower
        revisions = self.applied_revisions[host_id] = []
        follower.subscribe(
            lambda configuration: revisions.append(configuration.revision)
        )
        if run:
            self.tasks[host_id] = asyncio.create_task(follower.run())

    def stop(self, host_id):
        self.network.crash(host_id)
        self.hub.members.pop(HostId(host_id))
        self.followers.pop(host_id)
        self.tasks.pop(host_id).cancel()

    async def submit(self, document, submission_id=None, **options):
        text = document if isinstance(document, bytes) else json.dumps(document)
        text = text if isinstance(text, bytes) else text.encode()
        self.last = load_text(text, "services.json")
        self.last_id = submission_id or new_submission_id()
        outcome = await submit(self.store, self.last, self.last_id, **options)
        self.outcomes.append(outcome)
        return outcome

    def revisions(self):
        return [follower.configuration.revision for follower in self.followers.values()]

    def check_revisions_increase(self):
        for host_id, revisions in self.applied_revisions.items():
            assert revisions == sorted(set(revisions)), (host_id, revisions)


def run_fleet(context, *checks):
    """Run the recorded actions of the scenario on a new fleet, then the checks."""

    async def scenario():
        fleet = Fleet(*context.fleet_size)
        for host_id, zone in fleet.names:
            fleet.start(host_id, zone)
        for action in context.actions:
            await action(fleet)
        for check in checks:
            await check(fleet)
        fleet.check_revisions_increase()
        for task in fleet.tasks.values():
            task.cancel()

    run_virtual(scenario(), seed=1)


def add_action(context, action):
    context.actions.append(action)


@given("{zones:d} zones of {hosts:d} hosts that follow the configuration")
def given_fleet(context, zones, hosts):
    context.fleet_size = (zones, hosts)
    context.actions = []


@given("{zones:d} zones of {hosts:d} hosts without running followers")
def given_stopped_fleet(context, zones, hosts):
    context.fleet_size = (zones, hosts)


@when("the text with {count:d} upstreams is submitted")
def when_submitted(context, count):
    add_action(context, lambda fleet: fleet.submit(configurations.text(count)))


@when("the text with {count:d} upstreams is submitted as an edit of revision {base:d}")
def when_submitted_edit(context, count, base):
    add_action(
        context,
        lambda fleet: fleet.submit(
            configurations.text(count), expected_revision=Revision(base)
        ),
    )


@when(
    "the text with {count:d} upstreams is submitted with highest running revision "
    "{revision:d}"
)
def when_submitted_with_running_revision(context, count, revision):
    add_action(
        context,
        lambda fleet: fleet.submit(
            configurations.text(count),
            highest_running_revision=Revision(revision),
            timeout_s=30.0,
        ),
    )


@when("texts with {first:d} and {second:d} upstreams are submitted at the same time")
def when_two_submit(context, first, second):
    async def action(fleet):
        await asyncio.gather(
            *(fleet.submit(configurations.text(count)) for count in (first, second))
        )

    add_action(context, action)


@when("the store loses the next {lost:d} answers of configuration writes")
def when_answers_lost(context, lost):
    async def action(fleet):
        fleet.store.lose_answers = lost

    add_action(context, action)


@when(
    "the text with {count:d} upstreams is submitted while {others:d} others follow "
    "at once"
)
def when_others_follow(context, count, others):
    async def action(fleet):
        async def follow(number):
            # Written after the first write, before the first submission reads it back.
            await asyncio.sleep(0.05 * number)
            document = configurations.document(count + number)
            configuration = load_text(json.dumps(document).encode(), "other")
            await submit(fleet.store, configuration, new_submission_id())

        follower = asyncio.gather(*(follow(n) for n in range(1, others + 1)))
        await fleet.submit(configurations.text(count))
        await follower

    add_action(context, action)


@when("the store becomes unavailable for configuration hosts")
def when_store_away(context):
    async def action(fleet):
        await asyncio.sleep(3)
        fleet.store.set_away(True)

    add_action(context, action)


@when("{pause_s:d} seconds later the pending watches of the store are lost")
def when_watches_lost(context, pause_s):
    async def action(fleet):
        await asyncio.sleep(pause_s)
        fleet.store.stall_watches()

    add_action(context, action)


@when("the store becomes available for configuration hosts")
def when_store_back(context):
    async def action(fleet):
        fleet.store.set_away(False)

    add_action(context, action)


@when("the last submission is repeated with its id")
def when_repeated(context):
    add_action(
        context, lambda fleet: fleet.submit(configurations.text(2), fleet.last_id)
    )


@when("the store takes a snapshot of its data")
def when_snapshot_taken(context):
    async def action(fleet):
        await asyncio.sleep(3)
        fleet.snapshot = fleet.store.snapshot()

    add_action(context, action)


@when("the store is restored from the snapshot")
def when_restored(context):
    async def action(fleet):
        await asyncio.sleep(5)
        fleet.store.go_back(fleet.snapshot)

    add_action(context, action)


@when("the snapshot is restored while the text with {count:d} upstreams is submitted")
def when_restored_and_submitted(context, count):
    async def action(fleet):
        await asyncio.sleep(5)
        fleet.store.go_back(fleet.snapshot)
        await fleet.submit(configurations.text(count))

    add_action(context, action)


@when("a host joins the first zone")
def when_joins(context):
    async def action(fleet):
        fleet.start("joiner", "zone-0")

    add_action(context, action)


@when("the first zone loses its connection to the store")
def when_zone_cut_from_store(context):
    async def action(fleet):
        for host_id, zone in fleet.names:
            if zone == "zone-0":
                fleet.followers[host_id]._environment.store.away = True

    add_action(context, action)


@when("a text with {change} is submitted")
def when_refused_change(context, change):
    document = configurations.document(2)
    upstreams = document["services"]["stock-browser"]["upstreams"]
    if change == "8 shards":
        document["shard_count"] = 8
    elif change == "a moved upstream":
        upstreams["stock-1"]["zone"] = "brest"
    else:
        upstreams["new-1"] = upstreams.pop("stock-1")
    add_action(context, lambda fleet: fleet.submit(document))


def apply_text(follower, previous, count):
    configuration = load_text(configurations.text(count), "text")
    record = next_record(previous, configuration, new_submission_id())
    follower._apply_record(record, encode_record(record), "test")
    return record


@when("the second host applies revision 2 while it pulls revision 1 from the first")
def when_newer_applied_during_pull(context):
    async def scenario():
        fleet = Fleet(*context.fleet_size)
        for host_id, zone in fleet.names:
            fleet.start(host_id, zone, run=False)
        first, second = fleet.followers.values()
        record = apply_text(first, NO_RECORD, 2)
        waiting = asyncio.create_task(second.catch_up(HostId("0-0"), Revision(1), 1.0))
        # Lets the pull request be sent before the newer revision is applied.
        await asyncio.sleep(0)
        apply_text(second, record, 3)
        assert await waiting
        context.second_revision = second.configuration.revision

    run_virtual(scenario())


@then("the second host still runs revision 2")
def then_still_newer(context):
    assert context.second_revision == 2


@when("the first host has revision 1 and the second catches up")
def when_catches_up(context):
    async def scenario():
        fleet = Fleet(*context.fleet_size)
        for host_id, zone in fleet.names:
            fleet.start(host_id, zone, run=False)
        first, second = fleet.followers.values()
        apply_text(first, NO_RECORD, 2)
        context.caught_up = await second.catch_up(HostId("0-0"), Revision(1), 1.0)
        context.missed = await second.catch_up(HostId("0-0"), Revision(2), 1.0)
        context.second_revision = second.configuration.revision
        context.store_reads = fleet.store.reads

    run_virtual(scenario())


@then("the second host runs revision 1 without the store")
def then_caught_up(context):
    assert context.caught_up and not context.missed
    assert context.second_revision == 1 and context.store_reads == 0


@then("all configuration hosts run revision {revision:d} within {limit_s:d} seconds")
def then_all_run(context, revision, limit_s):
    async def check(fleet):
        await asyncio.sleep(limit_s)
        assert set(fleet.revisions()) == {revision}, fleet.revisions()

    run_fleet(context, check)


@then(
    "the configuration store has had at most {limit:d} reads in {quiet_s:d} quiet "
    "seconds"
)
def then_few_reads(context, limit, quiet_s):
    async def check(fleet):
        await asyncio.sleep(5)
        before = fleet.store.reads
        await asyncio.sleep(quiet_s)
        assert fleet.store.reads - before <= limit, fleet.store.reads - before

    run_fleet(context, check)


@then("the store holds revision {revision:d} after {limit_s:d} seconds")
def then_store_holds(context, revision, limit_s):
    async def check(fleet):
        await asyncio.sleep(limit_s)
        record, _, _ = await read_record(fleet.store)
        assert record.revision == revision, record.revision

    run_fleet(context, check)


@then("all configuration hosts have {count:d} upstreams")
def then_upstream_count(context, count):
    async def check(fleet):
        await asyncio.sleep(25)
        for follower in fleet.followers.values():
            service = follower.configuration.services["stock-browser"]
            assert len(service.upstreams) == count

    run_fleet(context, check)


@then("one submission was accepted and the other conflicts with revision {revision:d}")
def then_one_accepted(context, revision):
    async def check(fleet):
        outcome_types = sorted(type(outcome).__name__ for outcome in fleet.outcomes)
        assert outcome_types == ["Conflict", "Submitted"], fleet.outcomes
        assert Conflict(Revision(revision)) in fleet.outcomes

    run_fleet(context, check)


@then("the last submission was accepted as revision {revision:d} without a change")
def then_unchanged(context, revision):
    async def check(fleet):
        outcome = fleet.outcomes[-1]
        assert isinstance(outcome, Submitted), outcome
        assert outcome.unchanged and outcome.revision == revision, outcome

    run_fleet(context, check)


@then("the last submission was accepted as revision {revision:d}")
def then_accepted(context, revision):
    async def check(fleet):
        expected = Submitted(Revision(revision), fleet.last_id)
        assert fleet.outcomes[-1] == expected, fleet.outcomes[-1]

    run_fleet(context, check)


@then("the last submission conflicts with revision {revision:d}")
def then_conflict(context, revision):
    async def check(fleet):
        assert fleet.outcomes[-1] == Conflict(Revision(revision)), fleet.outcomes[-1]

    run_fleet(context, check)


@then("the last submission reports that the store is unavailable")
def then_unavailable(context):
    async def check(fleet):
        assert isinstance(fleet.outcomes[-1], StoreUnavailable), fleet.outcomes[-1]

    run_fleet(context, check)


@then('the last submission is refused at "{key_path}"')
def then_refused(context, key_path):
    async def check(fleet):
        outcome = fleet.outcomes[-1]
        assert isinstance(outcome, TextProblems), outcome
        assert key_path in [problem.key_path for problem in outcome.problems], outcome

    run_fleet(context, check)


@when("hosts follow the configuration under random faults with seed {seed:d}")
def when_random_faults(context, seed):
    async def scenario():
        fleet = Fleet(3, 4, seed)
        for host_id, zone in fleet.names:
            fleet.start(host_id, zone)
        rng = random.Random(seed)
        accepted = []
        for number in range(40):
            await asyncio.sleep(rng.uniform(0.0, 4.0))
            choice = rng.randrange(7)
            if choice == 0:
                fleet.store.set_away(not fleet.store.away)
            elif choice == 1:
                fleet.store.lose_answers = rng.randrange(3)
            elif choice == 2:
                fleet.snapshot = fleet.store.snapshot()
            elif choice == 3 and fleet.snapshot:
                # Waits until hosts have what was accepted, as the store then loses it.
                await asyncio.sleep(6)
                fleet.store.go_back(fleet.snapshot)
            elif choice == 4:
                host_id, zone = rng.choice(fleet.names)
                fleet.stop(host_id)
                fleet.start(host_id, zone)
            else:
                document = configurations.document(1 + number % 9)
                outcome = await fleet.submit(
                    document, highest_running_revision=Revision(max(fleet.revisions()))
                )
                if isinstance(outcome, Submitted) and not outcome.unchanged:
                    accepted.append(outcome.submission_id)
        fleet.store.set_away(False)
        await asyncio.sleep(40)
        fleet.check_revisions_increase()
        records = [follower.record for follower in fleet.followers.values()]
        for task in fleet.tasks.values():
            assert not task.done(), task
            task.cancel()
        return accepted, records

    context.accepted, context.records = run_virtual(scenario(), seed=seed)


@then("every accepted submission is part of the final configuration of all hosts")
def then_all_accepted(context):
    assert context.accepted
    assert len({record.revision for record in context.records}) == 1
    for record in context.records:
        for submission_id in context.accepted:
            assert record.contains(submission_id), (context.accepted, record.history)
        assert check_successor(record.configuration, record.configuration, "") is None
