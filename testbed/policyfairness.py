"""Fairness between callers that ask for more than their share and the others."""

import asyncio
import collections
import random

from wisteriatiller.transport import proxyheader

from .policycases import P99_TARGET, SETTLE_S, case, percentile, poisson
from .policyworld import Sizes, World, run_virtual


class WaitAudit:
    """Counts, for each request, the others dispatched while it headed its caller."""

    def __init__(self, world: World):
        self.worst = 0
        self._dispatched = collections.Counter()
        self._waiting: dict[str, collections.deque] = {}
        self._snapshots: dict[str, collections.Counter] = {}
        world.on_sent = self._sent

    def arrived(self, ip: str, token: bytes) -> None:
        waiting = self._waiting.setdefault(ip, collections.deque())
        waiting.append(token)
        if len(waiting) == 1:
            self._snapshots[ip] = self._dispatched.copy()

    def gone(self, ip: str, token: bytes) -> None:
        """The request was dispatched or refused."""
        waiting = self._waiting.get(ip)
        if not waiting or token not in waiting:
            return
        was_head = waiting[0] == token
        waiting.remove(token)
        if was_head and waiting:
            self._snapshots[ip] = self._dispatched.copy()

    def _sent(self, upstream, data: bytes) -> None:
        header, payload = proxyheader.split(data)
        ip = proxyheader.source(proxyheader.flow_key(header)).ip
        token = payload[4:8]
        waiting = self._waiting.get(ip)
        if not waiting or token not in waiting:
            return
        if waiting[0] == token:
            before = self._snapshots[ip]
            for other, count in self._dispatched.items():
                if other != ip:
                    self.worst = max(self.worst, count - before[other])
        self._dispatched[ip] += 1
        self.gone(ip, token)


async def one_busy_caller(seed, slots, factor, first_in_first_out, duration_s):
    callers, load, mean_s = 40, 0.8, 0.02
    world = World(
        {"s": Sizes(1, slots, mean_s)}, seed, first_in_first_out=first_in_first_out
    )
    world.start()
    await asyncio.sleep(SETTLE_S)
    audit = WaitAudit(world)
    latencies = collections.defaultdict(list)
    refused = collections.Counter()
    share = load * slots / mean_s / callers
    until_s = world.now_s() + duration_s

    def caller(index: int):
        flow = world.open_flow(index)

        def send():
            token = b""

            def done(result):
                audit.gone(flow.caller_id, token)
                if result.outcome == "answered":
                    latencies[index].append(result.latency_s)
                else:
                    refused[index] += 1

            token = world.peek_token()
            audit.arrived(flow.caller_id, token)
            flow.request(done)

        rate = share * (factor if index == 0 else 1)
        poisson(rate, random.Random(f"caller {seed} {index}"), send, until_s)

    for index in range(callers):
        caller(index)
    await asyncio.sleep(duration_s + 3)
    world.stop()
    return latencies, refused, audit.worst


@case
def fairness(seed: int, duration_s: float = 200.0):
    """One caller at 50 times its share, with the fair queue and with FIFO."""
    for slots in (3, 2):
        for queue in ("fair", "fifo"):
            fifo = queue == "fifo"
            alone, _, _ = run_virtual(one_busy_caller(seed, slots, 1, fifo, duration_s))
            busy, refused, worst = run_virtual(
                one_busy_caller(seed, slots, 50, fifo, duration_s)
            )
            others = range(1, 40)
            ratios = [
                percentile(busy[i], 0.99) / percentile(alone[i], 0.99)
                for i in others
                if busy[i]
            ]
            p99_alone = percentile([x for i in others for x in alone[i]], 0.99)
            p99_busy = percentile([x for i in others for x in busy[i]], 0.99)
            ratio = p99_busy / p99_alone
            values = {
                "queue": queue,
                "slots": slots,
                "others_p99_ms_without": p99_alone * 1000,
                "others_p99_ms_with": p99_busy * 1000,
                "p99_ratio": ratio,
                "worst_caller_p99_ratio": max(ratios),
                "others_refused": sum(refused[i] for i in others),
                "busy_caller_refused": refused[0],
                "max_waited_behind_one_caller": worst,
            }
            if not fifo:
                met = ratio <= P99_TARGET and worst <= 1
                values |= {
                    "target": "p99_ratio<=1.5,waited_behind<=1",
                    "met": "yes" if met else "no",
                }
            yield values
