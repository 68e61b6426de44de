"""Steps for requests under overload."""

import asyncio
from collections import Counter, defaultdict

from behave import given, then, when

from testbed.policyworld import (
    CODE_CONTENT,
    CODE_GET,
    CODE_POST,
    CODE_TIMEOUT,
    CODE_UNAVAILABLE,
    Sizes,
    World,
    coap_message,
    run_virtual,
)
from wisteriatiller.transport import coapcodec, proxyheader

TOKEN = b"same"


class Traffic:
    """Sends requests to the only upstream and records their answers.

    All requests have the same token, so that only message ids tell them apart.
    """

    def __init__(self, world):
        self.world = world
        self.upstream = next(iter(world.upstreams.values()))
        self.answers = defaultdict(list)
        self.sent_s = {}
        self.posts = set()
        self.send_counts = Counter()
        self._bodies = {}
        world.on_answer = self._record_answer
        world.on_sent = self._record_send

    def send(self, caller, message_id=1, code=CODE_GET, flow=None):
        flow = flow or self.world.open_flow(caller)
        key = (flow.flow_key, message_id)
        body = b"\xff%d/%d" % (caller, message_id)
        self._bodies[key] = body
        self.sent_s[key] = self.world.now_s()
        if code == CODE_POST:
            self.posts.add(key)
        flow.repeat(coap_message(0, code, message_id, TOKEN, body))
        return key

    def cancel(self, key):
        flow = self.world.flows[key[0]]
        flow.repeat(coap_message(3, 0, key[1], b""))

    def answered_with(self, code):
        return [key for key, items in self.answers.items() if items[0][1][1] == code]

    def latency_s(self, key):
        return self.answers[key][0][0] - self.sent_s[key]

    def keys_with_wrong_body(self):
        return [
            key
            for key in self.answered_with(CODE_CONTENT)
            if not self.answers[key][0][1].endswith(TOKEN + self._bodies[key])
        ]

    def _record_answer(self, flow_key, payload):
        key = (flow_key, int.from_bytes(payload[2:4], "big"))
        self.answers[key].append((self.world.now_s(), payload))

    def _record_send(self, upstream, data):
        header, payload = proxyheader.split(data)
        if header[-3:-2] != bytes((proxyheader.TLV_CANCEL,)) and payload[1]:
            self.send_counts[payload[4 + len(TOKEN) :]] += 1

    def body(self, key):
        return self._bodies[key]


def run_scenario(context, scenario):
    """Run ``scenario`` with one service, as configured by the given steps."""

    async def main():
        world = World({"s": context.sizes}, seed=3)
        world.start()
        await asyncio.sleep(2)
        context.traffic = traffic = Traffic(world)
        started_bodies = context.started_bodies = []
        original_start = traffic.upstream._start

        def record_start(key, payload):
            started_bodies.append(payload[4 + len(TOKEN) :])
            original_start(key, payload)

        traffic.upstream._start = record_start
        for name, value in context.faults.items():
            setattr(traffic.upstream, name, value)
        await scenario(world, traffic)
        world.stop()

    run_virtual(main())


@given(
    "a service of one upstream with {slots:d} slot and answers after about {mean:d} ms"
)
@given(
    "a service of one upstream with {slots:d} slots and answers after about {mean:d} ms"
)
def given_service(context, slots, mean):
    context.sizes = Sizes(1, slots, mean / 1000)
    context.faults = {}


@given("the upstream is silent and has been probed for 2.5 s")
def given_silent(context):
    context.faults = {"silent": True}


@given("the upstream loses, refuses, delays and duplicates some datagrams")
def given_faults(context):
    context.faults = {
        "loss_share": 0.05,
        "refuse_share": 0.1,
        "late_share": 0.03,
        "twice_share": 0.2,
        "disorder_s": 0.05,
    }


@given("the upstream refuses half of the requests")
def given_refusals(context):
    context.faults = {"refuse_share": 0.5}


@given("the upstream refuses all requests and reports shedding")
def given_shedding(context):
    context.faults = {"refuse_share": 1.0, "report_state": "shedding"}


@when("{count:d} callers send a request at the same moment")
def when_burst(context, count):
    async def scenario(world, traffic):
        if traffic.upstream.silent:
            await asyncio.sleep(2.5)
        else:
            # A few answers, so that the service time has been measured.
            for caller in range(4):
                traffic.send(10_000 + caller)
                await asyncio.sleep(2)
            traffic.answers.clear()
            context.started_bodies.clear()
        for caller in range(count):
            traffic.send(caller)
        await asyncio.sleep(4)
        upstream_id = traffic.upstream.upstream.upstream_id
        context.is_down_at_end = world.dispatcher(upstream_id).health.is_down

    run_scenario(context, scenario)


@when("the upstream is detected as down")
def when_down(context):
    assert context.is_down_at_end


@then("at most {count:d} requests reach the upstream")
def then_few_started(context, count):
    assert 1 <= len(context.started_bodies) <= count, context.started_bodies


@then("the requests that were refused were refused within 1 ms")
def then_refused_at_once(context):
    traffic = context.traffic
    refused = traffic.answered_with(CODE_UNAVAILABLE)
    assert refused and max(map(traffic.latency_s, refused)) <= 0.001


@then("every answered request was answered within its deadline")
def then_in_time(context):
    traffic = context.traffic
    answered = traffic.answered_with(CODE_CONTENT)
    assert answered and max(map(traffic.latency_s, answered)) <= 2.0
    assert not traffic.answered_with(CODE_TIMEOUT)


@then("at most {count:d} callers are told to retry in the same second")
def then_spread(context, count):
    traffic = context.traffic
    seconds = Counter(
        coapcodec.decode_header(traffic.answers[key][0][1]).max_age_s
        for key in traffic.answered_with(CODE_UNAVAILABLE)
    )
    assert sum(seconds.values()) > 300 and max(seconds.values()) <= count, seconds


@then("every queued request was refused at that moment")
def then_all_refused(context):
    traffic = context.traffic
    times = {
        traffic.answers[key][0][0] for key in traffic.answered_with(CODE_UNAVAILABLE)
    }
    assert len(traffic.answered_with(CODE_UNAVAILABLE)) >= 9 and len(times) == 1, times
    # Detection takes 3 s without a probe answer and up to one probe interval; the burst
    # comes 2.5 s into that time.
    assert max(map(traffic.latency_s, traffic.answered_with(CODE_UNAVAILABLE))) <= 1.6


@when("{count:d} GET and POST requests are sent at twice the capacity, some cancelled")
def when_mixed(context, count):
    send_mixed(context, count, factor=2.0, cancelled=0.05)


@when("{count:d} GET and POST requests are sent at half the capacity")
def when_half_load(context, count):
    send_mixed(context, count, factor=0.5, cancelled=0.0)


def send_mixed(context, count, factor, cancelled):
    async def scenario(world, traffic):
        await asyncio.sleep(2)
        gap_s = context.sizes.mean_s / context.sizes.slots / factor
        flows = [world.open_flow(caller) for caller in range(30)]
        for number in range(count):
            code = CODE_POST if world.random.random() < 0.3 else CODE_GET
            caller = number % len(flows)
            key = traffic.send(caller, 1 + number, code, flows[caller])
            if world.random.random() < cancelled:
                asyncio.get_running_loop().call_later(
                    world.random.uniform(0, 0.2), traffic.cancel, key
                )
            await asyncio.sleep(world.random.expovariate(1 / gap_s))
        await asyncio.sleep(8)
        context.budget = world.dispatcher(
            traffic.upstream.upstream.upstream_id
        ).retry_budget

    run_scenario(context, scenario)


@then("no refused request was started by the upstream")
def then_refusals_true(context):
    traffic = context.traffic
    refused = {traffic.body(key) for key in traffic.answered_with(CODE_UNAVAILABLE)}
    assert refused and not refused & set(context.started_bodies)


@then("every request has exactly one final answer")
def then_one_answer(context):
    traffic = context.traffic
    assert set(traffic.answers) == set(traffic.sent_s)
    assert all(len(items) == 1 for items in traffic.answers.values())


@then("no POST was sent to the upstream twice")
def then_posts_once(context):
    traffic = context.traffic
    assert max(traffic.send_counts.values()) == 2, (
        "no request was sent twice in this run"
    )
    assert all(traffic.send_counts[traffic.body(key)] <= 1 for key in traffic.posts)


@then("no answer has the body of another request")
def then_right_bodies(context):
    assert context.traffic.answered_with(CODE_CONTENT)
    assert not context.traffic.keys_with_wrong_body()


@then("requests were retried, and at most for {percent:g} percent of the answers")
def then_within_budget(context, percent):
    traffic = context.traffic
    repeats = sum(count - 1 for count in traffic.send_counts.values())
    answered = len(traffic.answered_with(CODE_CONTENT))
    assert repeats == context.budget.spent
    assert 0 < repeats <= answered * percent / 100, (repeats, answered)


@then("some of the retried requests were answered")
def then_retries_useful(context):
    traffic = context.traffic
    answered = {traffic.body(key) for key in traffic.answered_with(CODE_CONTENT)}
    assert any(traffic.send_counts[body] > 1 for body in answered)


@given("the upstream does not deduplicate requests")
def given_no_duplicates(context):
    context.faults = {"deduplicates": False}


@when("a slow request is retransmitted and the second copy is refused")
def when_second_copy_refused(context):
    async def scenario(world, traffic):
        for number in range(15):
            traffic.send(number)
            await asyncio.sleep(0.5)
        traffic.upstream.speed = 0.01
        context.first = traffic.send(100)
        await asyncio.sleep(0.1)
        traffic.upstream.refuse_share = 1.0
        await asyncio.sleep(3)

    run_scenario(context, scenario)


@then("its outcome is unknown although the second copy was refused")
def then_unknown_in_spite(context):
    traffic = context.traffic
    assert traffic.send_counts[traffic.body(context.first)] == 2
    assert context.started_bodies.count(traffic.body(context.first)) == 1
    assert context.first in traffic.answered_with(CODE_TIMEOUT), traffic.answers[
        context.first
    ]


@then("no request was retried")
def then_no_retry(context):
    traffic = context.traffic
    assert traffic.send_counts and max(traffic.send_counts.values()) == 1


@when("a request is cancelled in flight while another waits")
def when_cancelled(context):
    async def scenario(world, traffic):
        flow = world.open_flow(1)
        context.first = traffic.send(1, 1, flow=flow)
        context.second = traffic.send(1, 2, flow=flow)
        context.third = traffic.send(1, 3, flow=flow)
        await asyncio.sleep(0.05)
        traffic.cancel(context.third)
        context.started_before = list(context.started_bodies)
        traffic.cancel(context.first)
        await asyncio.sleep(0.005)
        context.started_after = list(context.started_bodies)
        await asyncio.sleep(5)

    run_scenario(context, scenario)


@then("the waiting request starts within 5 ms of the cancellation")
def then_slot_freed(context):
    traffic = context.traffic
    assert context.started_before == [traffic.body(context.first)]
    assert context.started_after == [
        traffic.body(context.first),
        traffic.body(context.second),
    ]
    assert context.second in traffic.answered_with(CODE_CONTENT)


@then("the cancelled request's outcome is unknown")
def then_cancelled_unknown(context):
    assert context.first in context.traffic.answered_with(CODE_TIMEOUT)


@then("a request cancelled in the queue never starts")
def then_cancelled_in_queue(context):
    traffic = context.traffic
    assert context.third in traffic.answered_with(CODE_UNAVAILABLE)
    assert traffic.body(context.third) not in context.started_bodies


@when("the lease is lost while requests wait")
def when_lease_lost(context):
    async def scenario(world, traffic):
        for caller in range(3):
            traffic.send(caller)
        owned = world._owned(traffic.upstream.upstream.upstream_id)
        owned.lease_remaining_s = lambda: 0.0
        await asyncio.sleep(6)

    run_scenario(context, scenario)


@then("the waiting requests' outcome is unknown")
def then_waiting_unknown(context):
    traffic = context.traffic
    assert len(traffic.answered_with(CODE_TIMEOUT)) == 2, traffic.answers
    assert not traffic.answered_with(CODE_UNAVAILABLE)
