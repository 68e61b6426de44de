"""Steps for membership and gossip, in virtual time."""

import asyncio
import socket
from dataclasses import replace

import msgpack
from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from tests.fakes import PEER_KEY, FakeNetwork, run_virtual
from tests.loopback import own_network
from wisteriatiller.configuration.settings import Seed
from wisteriatiller.foundation.messages import _fields_by_type, encode
from wisteriatiller.foundation.metrics import InMemoryMetrics
from wisteriatiller.ids import Address
from wisteriatiller.membership import gossipmessages
from wisteriatiller.membership.gossipstate import GossipState, make_entry
from wisteriatiller.membership.membership import HostState
from wisteriatiller.membership.swim import SwimMembership
from wisteriatiller.transport.datagrams import UdpSocketFactory
from wisteriatiller.transport.tcpmessenger import TcpPeerMessenger


class Cluster:
    """Hosts named ``z<zone>-<number>`` with membership on one fake network."""

    def __init__(self, count, zones, seed):
        self.count, self.zones, self.seed = count, zones, seed
        self.zone_names = [f"z{zone}" for zone in range(zones)]

    async def start(self):
        self.network = FakeNetwork(self.seed)
        self.hosts = {}
        self.addresses = {}
        self.outside = None
        names = [f"z{i % self.zones}-{i}" for i in range(self.count)]
        self.seeds = [self.network.seed(name, name[:2]) for name in names[:2]]
        for name in names:
            await self.add(name)
        await asyncio.gather(*(host.wait_joined(10) for host in self.hosts.values()))
        await self.wait_for(self.all_alive, 5)

    async def add(self, name, **options):
        environment = self.network.environment(
            name, name[:2], **{"seeds": self.seeds, **options}
        )
        self.hosts[name] = SwimMembership(environment)
        await self.hosts[name].start()
        return self.hosts[name]

    def crash(self, name):
        self.network.crash(name)
        self.hosts.pop(name).close()

    async def wait_for(self, condition, limit_s):
        """Wait until the condition holds and return the time it took."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while not condition():
            passed_s = loop.time() - start_s
            assert passed_s <= limit_s, f"{condition} not met in {limit_s} s"
            await asyncio.sleep(0.02)
        return loop.time() - start_s

    def views_of(self, host_id, observers=None):
        """Return how the other hosts see one host; None where it is unknown."""
        return [
            {m.host_id: m for m in host.members()}.get(host_id)
            for name, host in self.hosts.items()
            if name != host_id and (observers is None or name.startswith(observers))
        ]

    def all_alive(self):
        return all(
            view is not None and view.state == HostState.ALIVE
            for name in self.hosts
            for view in self.views_of(name)
        )

    def digests_equal(self):
        return len({host._entries.state.root for host in self.hosts.values()}) == 1

    def total_count(self, name):
        return sum(
            host._environment.metrics.counters().get(name, 0)
            for host in self.hosts.values()
        )


def run(context, scenario):
    """Start the cluster and run a scenario in virtual time."""

    async def started():
        await context.cluster.start()
        await scenario(context.cluster)

    run_virtual(started(), seed=context.cluster.seed)


@given("a cluster of {count:d} hosts in {zones:d} zones with seed {seed:d}")
def given_cluster(context, count, zones, seed):
    context.cluster = Cluster(count, zones, seed)
    context.expected_deaths = 0


@when("one host of the cluster crashes")
def when_crash(context):
    async def scenario(cluster):
        cluster.crash("z2-2")

        def dead(observers=None):
            views = cluster.views_of("z2-2", observers)
            return all(view.state == HostState.DEAD for view in views)

        context.zone_s = await cluster.wait_for(lambda: dead("z2"), 20)
        context.all_s = context.zone_s + await cluster.wait_for(dead, 20)

    run(context, scenario)
    context.expected_deaths = len(context.cluster.hosts)


@then("its zone declares it dead within {zone_s:g} s and every host within {all_s:g} s")
def then_found_dead(context, zone_s, all_s):
    assert context.zone_s <= zone_s and context.all_s <= all_s, (
        context.zone_s,
        context.all_s,
    )


@then("no other host was declared dead")
def then_no_deaths(context):
    deaths = context.cluster.total_count("membership.became_dead")
    assert deaths == context.expected_deaths, deaths


@when(
    "{percent:d} percent of the datagrams are lost and some late or duplicated "
    "for {length_s:d} s"
)
def when_lossy(context, percent, length_s):
    async def scenario(cluster):
        network = cluster.network
        network.loss = percent / 100
        network.duplication = network.reordering = 0.1
        network.delay_s = (0.0005, 0.03)
        await asyncio.sleep(length_s)

    run(context, scenario)


@then("no host of the cluster reported a zone as cut off")
def then_no_cut(context):
    assert context.cluster.total_count("membership.zone_cut") == 0


@when("one host of the cluster is cut off for {length_s:g} s")
def when_cut_off(context, length_s):
    async def scenario(cluster):
        others = [name for name in cluster.hosts if name != "z0-0"]
        before = cluster.hosts["z0-0"]._entries.incarnation
        cluster.network.cut(["z0-0"], others)
        await asyncio.sleep(length_s)
        cluster.network.heal()
        context.refutation_s = await cluster.wait_for(
            lambda: all(
                view.state == HostState.ALIVE and view.incarnation > before
                for view in cluster.views_of("z0-0")
            ),
            5,
        )

    run(context, scenario)


@when("two hosts of a zone are cut from each other for {length_s:d} s")
def when_pair_cut_only(context, length_s):
    when_pair_cut(context, length_s, 0)


@then("no host of the cluster was suspected")
def then_none_suspected(context):
    assert context.cluster.total_count("membership.became_suspect") == 0


@when(
    "two hosts of a zone are cut from each other for {length_s:d} s "
    "with {percent:d} percent loss"
)
def when_pair_cut(context, length_s, percent):
    async def scenario(cluster):
        cluster.network.loss = percent / 100
        cluster.network.cut(["z0-0"], ["z0-2"])
        await asyncio.sleep(length_s)

    run(context, scenario)


@then("it was suspected and every host sees it alive in a higher incarnation")
def then_refuted(context):
    assert context.cluster.total_count("membership.became_suspect") > 0
    assert context.cluster.hosts["z0-0"]._environment.metrics.counters()[
        "membership.refutations"
    ]


def restart(context, delay_s):
    async def scenario(cluster):
        cluster.crash("z1-1")
        await asyncio.sleep(delay_s)
        address = Address("10.9.9.9", 7400)
        await cluster.add("z1-1", peer_listen=address)
        context.restart_s = await cluster.wait_for(
            lambda: all(
                view.address == address and view.state == HostState.ALIVE
                for view in cluster.views_of("z1-1")
            ),
            20,
        )

    run(context, scenario)


@when("one host of the cluster restarts at a new address at once")
def when_restart(context):
    restart(context, 0)


@when("one host of the cluster restarts at a new address after its death")
def when_restart_late(context):
    restart(context, 30)


@then("within {limit_s:g} s every host sees it alive at the new address")
def then_restarted(context, limit_s):
    assert context.restart_s <= limit_s, context.restart_s


@when(
    "the first zone is cut off for {length_s:d} s "
    "and values are published on both sides"
)
def when_zone_cut(context, length_s):
    async def scenario(cluster):
        inside = [host for name, host in cluster.hosts.items() if name[:2] == "z0"]
        outside = [host for name, host in cluster.hosts.items() if name[:2] != "z0"]

        def all_unreachable():
            return all(
                not host.is_zone_reachable(zone)
                for host in inside
                for zone in cluster.zone_names[1:]
            ) and not any(host.is_zone_reachable("z0") for host in outside)

        def all_reachable():
            return all(
                host.is_zone_reachable(zone)
                for host in cluster.hosts.values()
                for zone in cluster.zone_names
            )

        cluster.network.cut(["z0"], cluster.zone_names[1:])
        context.unreachable_s = await cluster.wait_for(all_unreachable, 20)
        assert all(host.is_zone_reachable("z2") for host in outside)
        for number in range(length_s // 10):
            inside[0].publish(f"inside/{number}", 1, number)
            outside[0].publish("both", number, "outside")
            inside[1].publish("both", number + 1, "inside")
            await asyncio.sleep(10)
        cluster.network.heal()
        context.reachable_s = await cluster.wait_for(all_reachable, 20)
        context.equal_s = context.reachable_s + await cluster.wait_for(
            cluster.digests_equal, 20
        )
        values = {host.gossiped_value("both") for host in cluster.hosts.values()}
        assert values == {(length_s // 10, "inside")}, values

    run(context, scenario)


@then("both sides of the cut reported each other unreachable within {limit_s:g} s")
def then_unreachable(context, limit_s):
    assert context.unreachable_s <= limit_s, context.unreachable_s


@then(
    "the zones were back within {back_s:g} s and the values equal within {equal_s:g} s"
)
def then_reachable(context, back_s, equal_s):
    times = (context.reachable_s, context.equal_s)
    assert times[0] <= back_s and times[1] <= equal_s, times


@when("the hosts of the only zone are partitioned into halves for {length_s:d} s")
def when_partitioned_into_halves(context, length_s):
    async def scenario(cluster):
        names = list(cluster.hosts)
        cluster.network.cut(names[:4], names[4:])
        await asyncio.sleep(length_s)
        assert len(cluster.hosts[names[0]].members()) == 4
        cluster.network.heal()
        context.converged_s = await cluster.wait_for(cluster.all_alive, 60)

    run(context, scenario)


@when("all seeds crash and another host restarts")
def when_seeds_down(context):
    async def scenario(cluster):
        for name in ("z0-0", "z1-1", "z1-3"):
            cluster.crash(name)
        await asyncio.sleep(10)
        await cluster.add("z1-3")
        names = list(cluster.hosts)
        context.converged_s = await cluster.wait_for(
            lambda: all(
                set(host.live_hosts("z0") + host.live_hosts("z1")) == set(names)
                for host in cluster.hosts.values()
            ),
            200,
        )

    run(context, scenario)


@then("within {limit_s:g} s every host sees every host alive")
def then_converged(context, limit_s):
    assert context.converged_s <= limit_s, context.converged_s


@when("{percent:d} percent of the datagrams are lost")
def when_some_lost(context, percent):
    context.loss = percent / 100


@then("{count:d} consecutive values reach every host within {limit_s:g} s each")
def then_values_reach(context, count, limit_s):
    async def scenario(cluster):
        cluster.network.loss = context.loss
        hosts = list(cluster.hosts.values())
        for number in range(count):
            hosts[number].publish("config", number + 1, f"text {number}")
            known = (number + 1, f"text {number}")
            await cluster.wait_for(
                lambda known=known: all(
                    h.gossiped_value("config") == known for h in hosts
                ),
                limit_s,
            )

    run(context, scenario)


@when("{count:d} values are published and a host joins through seeds with other ids")
def when_joins(context, count):
    async def scenario(cluster):
        first = cluster.hosts["z0-0"]
        for number in range(count):
            first.publish(f"value/{number}", 1, "x" * 50)
        await asyncio.sleep(20)
        seeds = [replace(seed, host_id="former") for seed in cluster.seeds]
        joiner = await cluster.add("z1-99", seeds=seeds)
        keys = [f"value/{number}" for number in range(count)]
        context.join_s = await cluster.wait_for(
            lambda: (
                all(joiner.gossiped_value(key) for key in keys)
                and len(joiner.members()) == 7
                and cluster.all_alive()
            ),
            30,
        )

    run(context, scenario)


@then("the new host has all {count:d} values and knows each host within {limit_s:g} s")
def then_joined(context, count, limit_s):
    assert context.join_s <= limit_s, context.join_s


@when("one host of the cluster leaves and stops")
def when_stops(context):
    async def scenario(cluster):
        host = cluster.hosts.pop("z3-3")
        await host.leave()
        await cluster.wait_for(
            lambda: not any(h.live_hosts("z3") for h in cluster.hosts.values()), 2
        )
        assert all(h.is_live("z3-3") for h in cluster.hosts.values())
        await host.stop()
        context.stop_s = await cluster.wait_for(
            lambda: not any(h.is_live("z3-3") for h in cluster.hosts.values()), 20
        )

    run(context, scenario)


@then("within {limit_s:g} s no host sees it as live")
def then_stopped(context, limit_s):
    assert context.stop_s <= limit_s, context.stop_s


@when("one host of the cluster crashes and {delay_s:d} s later another host joins")
def when_crash_and_join(context, delay_s):
    async def scenario(cluster):
        cluster.crash("z1-4")
        await asyncio.sleep(delay_s)
        await cluster.add("z1-9")
        await asyncio.sleep(30)
        context.digests_equal_after_join = cluster.digests_equal()
        await asyncio.sleep(620 - delay_s)

    run(context, scenario)


@then("all hosts of the cluster had equal digests 30 s after the join")
def then_held_equal_sums(context):
    assert context.digests_equal_after_join


@then("no host knows the crashed host {passed_s:d} s after its crash")
def then_forgotten(context, passed_s):
    assert set(context.cluster.views_of("z1-4")) == {None}


@then("all hosts of the cluster have equal digests")
def then_equal_sums(context):
    assert context.cluster.digests_equal()


@when("the clock of one host jumps by {jump_s:g} s")
def when_stall(context, jump_s):
    async def scenario(cluster):
        host = cluster.hosts["z0-3"]
        context.previous_incarnation = host._entries.incarnation
        context.incarnations_at_stall = []
        host.subscribe_stalls(
            lambda: context.incarnations_at_stall.append(host._entries.incarnation)
        )
        host._environment.clock.offset_s += jump_s
        context.rejoin_s = await cluster.wait_for(
            lambda: all(
                v.incarnation > context.previous_incarnation
                for v in cluster.views_of("z0-3")
            ),
            20,
        )

    run(context, scenario)


@then("its stall listeners were called before its new incarnation was announced")
def then_stall_seen(context):
    assert context.incarnations_at_stall == [context.previous_incarnation], (
        context.incarnations_at_stall
    )


@then("within {limit_s:g} s every host knows its higher incarnation")
def then_rejoined(context, limit_s):
    assert context.rejoin_s <= limit_s, context.rejoin_s


def record_datagrams(network, sent):
    send = network.send_datagram

    def record(port, data, address):
        sent.append((data, address))
        send(port, data, address)

    network.send_datagram = record


@when("{count:d} forged, mutated, truncated, oversized and replayed datagrams arrive")
def when_invalid_datagrams(context, count):
    async def scenario(cluster):
        sent = []
        record_datagrams(cluster.network, sent)
        await asyncio.sleep(20)
        recorded = tuple(sent)
        random = cluster.network.random
        target = cluster.network.address("z0-1")
        outsider = await cluster.network.datagram_ports("outsider", "z0").open(
            Address("10.99.0.1", 1), lambda data, sender: None
        )
        sent_to_others = [data for data, address in recorded if address != target]
        mutations = (
            lambda data: random.randbytes(random.randrange(0, 200)),
            lambda data: data[: random.randrange(len(data))],
            lambda data: bytes([data[0] ^ 1]) + data[1:],
            lambda data: data[:-1] + bytes([data[-1] ^ 1]),
            lambda data: data + bytes(2000),
            lambda data: gossipmessages.sign((b"other key",), data[16:]) + data[16:],
            lambda data: data,
        )
        before = [host.members() for host in cluster.hosts.values()]
        for number in range(count):
            mutate = mutations[number % len(mutations)]
            outsider.send(mutate(random.choice(sent_to_others)), target)
            if number % 100 == 0:
                # Replays datagrams, some of which were sent to this host.
                outsider.send(random.choice(recorded)[0], target)
                await asyncio.sleep(0.1)
        await asyncio.sleep(1)
        context.unchanged = before == [h.members() for h in cluster.hosts.values()]
        context.dropped = cluster.total_count("membership.dropped_datagrams")

    run(context, scenario)
    context.forged = count


@then("the cluster is unchanged and the datagrams were counted as dropped")
def then_unchanged(context):
    assert context.unchanged
    assert context.dropped >= context.forged, context.dropped


WIRE_VALUES = (None, True, -1, 0, 1 << 62, (1 << 64) - 1, 2.5, "", "host/z0-1", b"")


def random_field(random, depth=0):
    if depth < 3 and random.random() < 0.4:
        return [random_field(random, depth + 1) for _ in range(random.randrange(6))]
    return random.choice(WIRE_VALUES)


def random_update(random):
    key = random.choice(("host/z0-1", "host/new", "config", "host/"))
    packed_value = msgpack.packb(random_field(random))
    return (
        key,
        random.randrange(1 << 20),
        random.choice((packed_value, b"\xc1", b"")),
        0,
    )


def random_message(random):
    kinds = [
        cls
        for cls in _fields_by_type
        if cls.__module__ == "wisteriatiller.membership.gossipmessages"
    ]
    cls = random.choice(kinds)
    values = []
    for _, allowed in _fields_by_type[cls]:
        if tuple in allowed:
            field = random_field(random)
            updates = [random_update(random) for _ in range(random.randrange(3))]
            values.append(updates + (field if isinstance(field, list) else []))
        elif bytes in allowed:
            values.append(random.randbytes(random.choice((0, 1, 5, 512))))
        elif int in allowed:
            values.append(random.choice((-1, 0, 7, 1 << 62)))
        else:
            values.append(random.choice(("", "z0-0", "z0-2", "stranger")))
    return cls(*values)


@when("{count:d} signed datagrams with random fields arrive")
def when_random_fields(context, count):
    async def scenario(cluster):
        random = cluster.network.random
        target = cluster.network.address("z0-1")
        peer = cluster.hosts["z0-2"]._transport._port
        for number in range(count):
            message = random_message(random)
            peer.send(
                gossipmessages.encode_datagram((PEER_KEY,), target, message), target
            )
            peers = cluster.hosts["z0-1"]._environment.peers
            body = ["z0-2", 0, 0, encode(message)]
            peers.receive_frame(msgpack.packb(body))
            if number % 50 == 0:
                await asyncio.sleep(0.1)
        await asyncio.sleep(30)
        cluster.hosts["z0-3"].publish("after", 1, "the fuzzing")
        await cluster.wait_for(
            lambda: all(
                host.gossiped_value("after") for host in cluster.hosts.values()
            ),
            5,
        )
        await cluster.wait_for(cluster.all_alive, 30)

    run(context, scenario)


@then("the cluster still works")
def then_works(context):
    assert context.cluster.total_count("membership.dropped_malformed_update") > 0
    errors = context.cluster.total_count("peers.handler_errors")
    assert errors == 0, errors


ENTRIES = st.dictionaries(
    st.text("abc", min_size=1, max_size=4),
    st.tuples(st.integers(0, 3), st.integers(0, 2)),
    max_size=60,
)


def build_state(entries):
    state = GossipState()
    for key, (version, value) in entries.items():
        state.put(make_entry(key, version, msgpack.packb(value)))
    return state


def apply_newer(state, entries):
    for entry in entries:
        if state.is_newer(entry.key, entry.version, entry.packed_value):
            state.put(make_entry(entry.key, entry.version, entry.packed_value))


@then("any two gossip states are equal after one exchange")
def then_states_equal(context):
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @for_all(ENTRIES, ENTRIES)
    def check(first_entries, second_entries):
        first, second = build_state(first_entries), build_state(second_entries)
        buckets = first.differing_buckets(second.bucket_digests())
        versions = [
            item for bucket in buckets for item in first.bucket_versions(bucket)
        ]
        newer, wanted = second.diff(buckets, versions)
        answer = [first.entries[key] for key in wanted]
        apply_newer(first, newer)
        apply_newer(second, answer)
        assert first.root == second.root
        assert first.entries.keys() == second.entries.keys()
        for key, entry in first.entries.items():
            assert entry.precedence() == second.entries[key].precedence()

    check()


async def random_fault(cluster, stopped, random, number):
    network = cluster.network
    kind = random.choice(("crash", "leave", "start", "cut", "stall", "loss", "news"))
    name = random.choice(list(cluster.hosts))
    if kind in ("crash", "leave") and len(cluster.hosts) > 6:
        stopped.append(name)
        if kind == "leave":
            await cluster.hosts[name].leave()
            await cluster.hosts[name].stop()
        cluster.crash(name)
    elif kind == "start" and stopped:
        await cluster.add(stopped.pop(0))
    elif kind == "cut":
        group = random.sample(list(cluster.hosts) + cluster.zone_names, 3)
        rest = [n for n in list(cluster.hosts) if n not in group]
        network.cut(group, random.sample(rest, len(rest) // 2) + ["z1"])
    elif kind == "stall":
        cluster.hosts[name]._environment.clock.offset_s += random.uniform(0, 20)
    elif kind == "loss":
        network.loss = random.choice((0.0, 0.3, 0.6))
        network.delay_s = (0.0, random.choice((0.001, 0.1)))
    else:
        cluster.hosts[name].publish("news", number, name)


@when(
    "crashes, restarts, cuts, stalls, loss and updates come randomly for {length_s:d} s"
)
def when_random_faults(context, length_s):
    async def scenario(cluster):
        random = cluster.network.random
        loop = asyncio.get_running_loop()
        end_s = loop.time() + length_s
        stopped = []
        number = 0
        while loop.time() < end_s:
            number += 1
            await random_fault(cluster, stopped, random, number)
            await asyncio.sleep(random.expovariate(0.3))
            if random.random() < 0.2:
                cluster.network.heal()
        cluster.network.heal()
        cluster.network.loss = 0.0

        def agreed():
            live = {
                tuple(
                    sorted(
                        member.host_id
                        for member in host.members()
                        if member.state == HostState.ALIVE
                    )
                )
                for host in cluster.hosts.values()
            }
            values = {host.gossiped_value("news") for host in cluster.hosts.values()}
            reachable = all(
                host.is_zone_reachable(name[:2])
                for host in cluster.hosts.values()
                for name in cluster.hosts
            )
            expected = {tuple(sorted(cluster.hosts))}
            return live == expected and len(values) == 1 and reachable

        context.agreed_s = await cluster.wait_for(agreed, 120)

    run(context, scenario)


@then("{limit_s:d} s after the last fault all hosts have the same view")
def then_agreed(context, limit_s):
    assert context.agreed_s <= limit_s, context.agreed_s


async def start_on_sockets(name, seeds):
    metrics = InMemoryMetrics()
    template = FakeNetwork().environment(name, "z0", seeds=seeds)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        # On 127.0.0.1 another process may have the port for TCP by the time of its use.
        probe.bind((f"{own_network(78)}.1", 0))
        address = Address(*probe.getsockname())
    settings = replace(template.settings, peer_listen=address)
    peers = TcpPeerMessenger(settings, metrics)
    environment = replace(
        template,
        settings=settings,
        datagrams=UdpSocketFactory(metrics),
        peers=peers,
        metrics=metrics,
    )
    membership = SwimMembership(environment)
    peers.address_of = membership.address_of
    await peers.start()
    await membership.start()
    return membership, peers


@when("three hosts join on loopback sockets and one of them has {count:d} values")
def when_on_sockets(context, count):
    async def scenario():
        nodes = [await start_on_sockets("s0", ())]
        first = nodes[0][0]
        for number in range(count):
            first.publish(f"value/{number}", 1, "x" * 50)
        seeds = [Seed("s0", "z0", first._transport.address)]
        nodes += [await start_on_sockets(name, seeds) for name in ("s1", "s2")]
        members = [membership for membership, _ in nodes]
        cluster = Cluster(0, 0, 0)
        context.sockets_s = await cluster.wait_for(
            lambda: all(
                len(member.live_hosts("z0")) == 3
                and all(member.gossiped_value(f"value/{n}") for n in range(count))
                for member in members
            ),
            20,
        )
        for membership, peers in nodes:
            await membership.stop()
            await peers.close()

    asyncio.run(scenario())


@then("each of the three knows all hosts and values within {limit_s:g} s")
def then_on_sockets(context, limit_s):
    assert context.sockets_s <= limit_s, context.sockets_s
