"""Steps for exclusive ownership of upstreams."""

import asyncio
import random
from dataclasses import dataclass

from aiocoap.numbers.codes import Code
from behave import given, then, when

from testbed.caller import Outcome
from testbed.judge import Verdict
from tests.fakes import run_virtual
from tests.fleet import Fleet, build_services, wait_until
from wisteriatiller.outcomes import Unreachable
from wisteriatiller.owners.handover import HandoverQueue

SERVICE = "stock-browser"
FLOWS = 18
DEADLINE_MS = 8000
OWNED_TIMEOUT_S = 30.0
SLOW_SPEED = 0.08
BUSY_SPEED = 0.1


@dataclass
class FleetRun:
    """The result of the run of one seed.

    ``dispatched_again`` counts requests that reached an upstream more than once. The
    upstream's duplicate table prevents a second execution, so the verdict does not
    show them.
    """

    verdict: Verdict
    result: object
    requests_handed_over: int
    dispatched_again: int


class QuoteLoad:
    """Callers that send one quote after another, each on its own flow."""

    def __init__(self, fleet, pause_s):
        self.fleet = fleet
        self.flows = [fleet.open_flow(SERVICE, index) for index in range(FLOWS)]
        self.stopping = False
        self._pause_s = pause_s
        self._random = random.Random(f"load {fleet.seed}")
        self._count = 0
        self._tasks = [asyncio.create_task(self._session(flow)) for flow in self.flows]

    async def quote(self, flow):
        self._count += 1
        payload = f"quote-{self._count};crates=1".encode()
        return await flow.request(Code.POST, "quote", payload)

    async def _session(self, flow):
        while not self.stopping:
            await self.quote(flow)
            await asyncio.sleep(self._random.uniform(0, self._pause_s))

    async def stop(self):
        self.stopping = True
        await asyncio.gather(*self._tasks)


def run_fleets(context, scenario):
    """Run ``scenario(fleet, load)`` with each seed; keep verdicts and results."""

    async def run(seed):
        services = build_services({SERVICE: (3, 2)}, deadline_ms=DEADLINE_MS)
        fleet = Fleet(seed, services=services)
        await fleet.start()
        for upstream in fleet.upstreams.values():
            upstream.set_faults({"speed": context.upstream_speed})
        load = QuoteLoad(fleet, context.quote_pause_s)
        await asyncio.sleep(5.0)
        result = await scenario(fleet, load)
        await load.stop()
        handed_over = sum(
            host.environment.metrics.counters().get("handover.requests_taken", 0)
            for host in fleet.hosts.values()
        )
        running = [*fleet.upstreams.values(), *fleet.stopped_upstreams]
        dispatched_again = sum(upstream.record.repeats for upstream in running)
        return FleetRun(fleet.verdict(), result, handed_over, dispatched_again)

    context.fleet_runs = {seed: run_virtual(run(seed), seed) for seed in context.seeds}


def owner_of(fleet, upstream_id):
    (owner,) = fleet.owners(upstream_id)
    return owner


def backup_of(fleet, upstream_id):
    host = fleet.hosts[owner_of(fleet, upstream_id)]
    shard = host.shards.get_by_upstream(upstream_id).shard
    return host.ownership.backup(shard)


async def restart(fleet, host_id):
    await fleet.start_host(host_id)
    await wait_until(fleet.is_owned, OWNED_TIMEOUT_S)
    # By the end of this time, its shards were handed over to the restarted host.
    await asyncio.sleep(12.0)


@given(
    "{hosts:d} hosts in each of three zones with {kind} upstreams, on seeds {first:d} "
    "to {last:d}"
)
def given_fleet(context, hosts, kind, first, last):
    assert hosts == 3
    context.upstream_speed = SLOW_SPEED if kind == "slow" else BUSY_SPEED
    context.quote_pause_s = 2.0 if kind == "slow" else 0.2
    context.seeds = range(first, last + 1)


@when("each owner in turn is killed while quotes are running")
def when_owner_killed(context):
    async def scenario(fleet, load):
        after = []
        for upstream_id in list(fleet.upstreams):
            host_id = owner_of(fleet, upstream_id)
            await fleet.crash_host(host_id)
            await asyncio.sleep(8.0)
            await wait_until(fleet.is_owned, OWNED_TIMEOUT_S)
            for _ in range(3):
                flow = fleet.open_flow(SERVICE, 1000 + len(after))
                after.append((await load.quote(flow)).outcome)
            await restart(fleet, host_id)
        return after

    run_fleets(context, scenario)


@when("an owner and its backup are killed while quotes are running")
def when_owner_and_backup_killed(context):
    async def scenario(fleet, load):
        upstream_id = next(iter(fleet.upstreams))
        flows = [flow for flow in load.flows if flow.upstream == upstream_id]
        assert flows
        pair = (owner_of(fleet, upstream_id), backup_of(fleet, upstream_id))
        for host_id in pair:
            await fleet.crash_host(host_id)
        for host_id in pair:
            await fleet.start_host(host_id)
        await wait_until(fleet.is_owned, OWNED_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        owned_s = loop.time()
        await asyncio.sleep(10.0)
        outcomes = {"early": [], "late": []}
        load.stopping = True
        while loop.time() < owned_s + 225:
            for flow in flows:
                outcomes["early"].append((await load.quote(flow)).outcome)
            await asyncio.sleep(10.0)
        await asyncio.sleep(owned_s + 300 - loop.time())
        for flow in flows:
            outcomes["late"].append((await load.quote(flow)).outcome)
        return outcomes

    run_fleets(context, scenario)


@when("the backup of each upstream in turn is killed while quotes are running")
def when_backup_killed(context):
    async def scenario(fleet, load):
        for upstream_id in list(fleet.upstreams):
            host_id = backup_of(fleet, upstream_id)
            if any(host_id in fleet.owners(other) for other in fleet.upstreams):
                continue
            await fleet.crash_host(host_id)
            await asyncio.sleep(8.0)
            await restart(fleet, host_id)

    run_fleets(context, scenario)


@when("each owner in turn is cut off from all hosts for {cut_s:d} seconds")
def when_owner_cut(context, cut_s):
    async def scenario(fleet, load):
        for upstream_id in list(fleet.upstreams):
            owner = owner_of(fleet, upstream_id)
            fleet.network.cut([owner], [h for h in fleet.hosts if h != owner])
            await asyncio.sleep(cut_s)
            fleet.network.heal()
            await asyncio.sleep(10.0)
            await wait_until(fleet.is_owned, OWNED_TIMEOUT_S)

    run_fleets(context, scenario)


@when("each owner in turn is stopped and started again while quotes are queued")
def when_owner_stopped(context):
    async def scenario(fleet, load):
        for upstream_id in list(fleet.upstreams):
            host_id = owner_of(fleet, upstream_id)
            await fleet.stop_host(host_id)
            await asyncio.sleep(2.0)
            await restart(fleet, host_id)

    run_fleets(context, scenario)


def lose_reply(host, message_type):
    """Drop the reply to the next call with such a message."""
    peers = host.environment.peers
    call = peers.call

    async def call_without_reply(target, message, timeout_s):
        reply = await call(target, message, timeout_s)
        if not isinstance(message, message_type):
            return reply
        peers.call = call
        return Unreachable()

    peers.call = call_without_reply


@when("owners miss the reply to their queue or are cut off from their successors")
def when_handover_messages_lost(context):
    async def scenario(fleet, load):
        generator = random.Random(f"cuts {fleet.seed}")
        for turn, upstream_id in enumerate(list(fleet.upstreams) * 2):
            owner = owner_of(fleet, upstream_id)
            host = fleet.hosts[owner]
            owned = host.shards.get_by_upstream(upstream_id)
            successor = host.ownership.backup(owned.shard)
            if turn % 2 == 0:
                lose_reply(host, HandoverQueue)
            handing_over = asyncio.create_task(
                host.handover.hand_over(owned, successor)
            )
            if turn % 2 == 1:
                await wait_until(lambda owned=owned: owned.handing_over, 5.0, 0.001)
                await asyncio.sleep(generator.uniform(0, 0.3))
                fleet.network.cut([owner], [successor])
                await asyncio.sleep(generator.uniform(0.5, 4.0))
                fleet.network.heal()
            if not await handing_over:
                # The owner kept the shard and its queue. The successor, which may have
                # the queue too, takes over after the crash.
                await asyncio.sleep(generator.uniform(0.2, 1.0))
                await fleet.crash_host(owner)
                await asyncio.sleep(8.0)
                await fleet.start_host(owner)
            await wait_until(fleet.is_owned, OWNED_TIMEOUT_S)
            await asyncio.sleep(12.0)

    run_fleets(context, scenario)


@then('no quote ran twice and every "not run" was true')
def then_at_most_once(context):
    for seed, run in context.fleet_runs.items():
        verdict = run.verdict
        assert verdict.answered > 0, seed
        bad = (verdict.run_twice, verdict.false_not_run, verdict.mixed_answers)
        assert bad == (0, 0, 0), (seed, dict(verdict.details))
        assert run.dispatched_again == 0, (seed, run.dispatched_again)


@then("some quotes have an unknown outcome and none is without an answer")
def then_some_unknown(context):
    verdicts = [run.verdict for run in context.fleet_runs.values()]
    assert sum(verdict.outcome_unknown for verdict in verdicts) > 0
    assert sum(verdict.without_answer for verdict in verdicts) == 0


@then("quotes sent after each takeover were answered")
def then_answered_after(context):
    for seed, run in context.fleet_runs.items():
        assert set(run.result) == {Outcome.ANSWERED}, (seed, run.result)


@then("new quotes of the upstream's flows have an unknown outcome for 220 seconds")
def then_unknown_early(context):
    for seed, run in context.fleet_runs.items():
        assert set(run.result["early"]) == {Outcome.OUTCOME_UNKNOWN}, (seed, run)


@then("after that time they are answered")
def then_answered_late(context):
    for seed, run in context.fleet_runs.items():
        assert set(run.result["late"]) == {Outcome.ANSWERED}, (seed, run)


@then("no quote has an unknown outcome")
def then_none_unknown(context):
    for seed, run in context.fleet_runs.items():
        assert run.verdict.outcome_unknown == 0, (seed, run.verdict)


@then("every quote was answered once")
def then_all_answered(context):
    for seed, run in context.fleet_runs.items():
        verdict = run.verdict
        assert verdict.requests > 100, seed
        assert verdict.answered == verdict.requests, (seed, verdict)
        assert (verdict.run_twice, verdict.broken_flows) == (0, 0), (seed, verdict)
        assert run.dispatched_again == 0, (seed, run.dispatched_again)


@then("queued quotes were handed over")
def then_queue_handed_over(context):
    assert all(run.requests_handed_over > 0 for run in context.fleet_runs.values())
