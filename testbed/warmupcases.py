"""Load patterns under which upstreams start, return or turn slow."""

from collections.abc import Callable

from .warmupworld import StartingUpstream, WarmupSizes, WarmupWorld

SETTLE_S = 10.0
LENGTH_S = 16.0
BURST_FACTOR = 2.6
COLD_S = 2.0
COLD_SLOWNESS = 1.6

WarmupCase = Callable[[WarmupWorld], list[StartingUpstream]]


def cold(world: WarmupWorld) -> list[StartingUpstream]:
    """One upstream starts and is 1.6 times slower for 2 s."""
    return [world.start_upstream("a", COLD_S, COLD_SLOWNESS)]


def very_cold(world: WarmupWorld) -> list[StartingUpstream]:
    """One upstream starts and is 4 times slower for 10 s."""
    return [world.start_upstream("a", 10.0, 4.0)]


def warm_at_once(world: WarmupWorld) -> list[StartingUpstream]:
    """One upstream starts and is as fast as the others, though its entry says cold."""
    return [world.start_upstream("a", COLD_S, 1.0)]


def flapping(world: WarmupWorld) -> list[StartingUpstream]:
    """One upstream answers nobody for 2 s, three times, and returns cold."""
    upstream = world.zone_upstreams("a")[0]
    for begin_s in (0.0, 4.0, 8.0):
        world.clock.call_later(begin_s, lambda: _set_down(upstream))
        world.clock.call_later(
            begin_s + 2.0,
            lambda: world.restart_upstream(upstream, COLD_S, COLD_SLOWNESS),
        )
    return [upstream]


def slow_in_the_ramp(world: WarmupWorld) -> list[StartingUpstream]:
    """One upstream starts, and is 8 times slower from 1.5 s to 6.5 s after that."""
    started = world.start_upstream("a", COLD_S, 1.0)
    world.clock.call_later(1.5, lambda: _set_slowness(started, 8.0))
    world.clock.call_later(6.5, lambda: _set_slowness(started, 1.0))
    return [started]


def replaced_in_a_burst(world: WarmupWorld) -> list[StartingUpstream]:
    """Nine tenths of the upstreams of all zones are replaced in a burst of 2.6 times.

    The new ones are listed before the old ones leave.
    """
    started = []
    for zone in world.sizes.zones:
        old = world.zone_upstreams(zone)
        old = old[: round(0.9 * len(old))]
        started += [world.start_upstream(zone, COLD_S, COLD_SLOWNESS) for _ in old]
        world.clock.call_later(1.0, lambda old=old: world.drain_upstreams(old))
        world.load_factor[zone] = BURST_FACTOR
    world.clock.call_later(6.0, lambda: _set_load(world, 1.0))
    return started


def zone_returns(world: WarmupWorld) -> list[StartingUpstream]:
    """All upstreams of a zone have gone cold in an evacuation that ends now."""
    world.end_evacuation("a", COLD_S, COLD_SLOWNESS)
    return world.zone_upstreams("a")


def reader_dies(world: WarmupWorld) -> list[StartingUpstream]:
    """The reader dies while three upstreams that are cold for 5 s warm up."""
    started = [world.start_upstream("a", 5.0, COLD_SLOWNESS) for _ in range(3)]
    world.clock.call_later(2.0, lambda: world.kill_reader("a"))
    return started


def few_samples(world: WarmupWorld) -> list[StartingUpstream]:
    """One upstream starts while the zones open one flow per second and upstream."""
    _set_load(world, 0.2)
    world.run(5.0)
    world.reset_counts()
    return [world.start_upstream("a", COLD_S, COLD_SLOWNESS)]


CASES: dict[str, WarmupCase] = {
    case.__name__: case
    for case in (
        cold,
        very_cold,
        warm_at_once,
        flapping,
        slow_in_the_ramp,
        replaced_in_a_burst,
        zone_returns,
        reader_dies,
        few_samples,
    )
}


class CaseRun:
    """One case in one installation: the world, and what began to warm up when."""

    def __init__(self, name: str, sizes: WarmupSizes, seed: int):
        self.world = WarmupWorld(sizes, seed)
        self.world.run(SETTLE_S)
        self.world.reset_counts()
        self.started = CASES[name](self.world)
        self.began_at_s = self.world.clock.now_s()
        self.world.run(LENGTH_S)

    def even_flows_per_s(self) -> float:
        """An even share of the new flows of a zone at the load of the end."""
        world = self.world
        flows_per_s = world.sizes.flows_per_s * world.load_factor["a"]
        return flows_per_s / len(world.zone_upstreams("a"))

    def full_load_after_s(self, upstream: StartingUpstream) -> float:
        """When the upstream first had 0.7 of an even share for 2 s; infinity: never."""
        needed = max(2, round(0.7 * 2.0 * self.even_flows_per_s()))
        times_s = [at_s for at_s in upstream.openings_at_s if at_s >= self.began_at_s]
        for first, last in zip(times_s, times_s[needed - 1 :], strict=False):
            if last - first <= 2.0:
                return last - self.began_at_s
        return float("inf")

    def openings_between(
        self, upstream: StartingUpstream, begin_s: float, end_s: float
    ) -> int:
        """Opening packets in a time that counts from the begin of the case."""
        return sum(
            begin_s <= at_s - self.began_at_s < end_s for at_s in upstream.openings_at_s
        )


def _set_down(upstream: StartingUpstream) -> None:
    upstream.is_down = True


def _set_slowness(upstream: StartingUpstream, slowness: float) -> None:
    upstream.slowness = slowness


def _set_load(world: WarmupWorld, factor: float) -> None:
    for zone in world.sizes.zones:
        world.load_factor[zone] = factor
