"""Troubles of an upstream or of hosts that must or must not look like silence."""

from tests.silentzone import Mode
from wisteriatiller.steering import UpstreamState

NAME = "1"
UPSTREAM_ID = "i-1"
LONG_S = 1.2
SLOW_FACTOR = 8
UNLIMITED = 10_000


def make_unreliable(zone, fraction=0.2):
    """Lose, delay and repeat a fraction of the reports each."""
    zone.lost = zone.delayed = zone.repeated = fraction


def vanish(zone, upstream_id=UPSTREAM_ID):
    zone.upstreams[upstream_id].mode = Mode.VANISHED


def _overload(zone):
    """Keep 8 to 10 requests in flight; answers go on."""
    zone.upstreams[UPSTREAM_ID].keep_busy(8)


def _slow_down(zone):
    zone.upstreams[UPSTREAM_ID].service_s *= SLOW_FACTOR


def _slow_down_with_queue(zone):
    _slow_down(zone)
    zone.upstreams[UPSTREAM_ID].max_queue = UNLIMITED


def _serve_long(zone):
    zone.upstreams[UPSTREAM_ID].service_s = LONG_S


def _serve_long_with_queue(zone):
    _serve_long(zone)
    zone.upstreams[UPSTREAM_ID].max_queue = UNLIMITED


def _mute(zone):
    zone.upstreams[UPSTREAM_ID].mode = Mode.MUTE


def _reach_limit(zone):
    """Leave openings unanswered, while the open flows are quiet."""
    fake = zone.upstreams[UPSTREAM_ID]
    fake.mode = Mode.AT_LIMIT
    zone.quiet.add(fake)


def _drain(zone):
    """Announce the end, and end one second later with open flows."""
    zone.change_listing(NAME, state=UpstreamState.DRAINING)
    zone.later(1.0, vanish, zone)


def _restart(zone):
    """Begin a new lifetime, which is listed a second later."""
    zone.upstreams[UPSTREAM_ID].end()
    zone.later(0.7, zone.upstreams[UPSTREAM_ID].restart)
    zone.later(1.7, lambda: zone.change_listing(NAME, started_ms=2))


def _restart_mutely(zone):
    """Answer nothing for 0.7 s, and then no packet of the former lifetime's flows."""
    vanish(zone)
    zone.later(0.7, zone.upstreams[UPSTREAM_ID].restart)
    zone.later(1.7, lambda: zone.change_listing(NAME, started_ms=2))


def _idle(zone):
    zone.quiet |= set(zone.upstreams.values())
    zone.is_asking = False


def _freeze(zone):
    vanish(zone)
    zone.later(0.5, zone.upstreams[UPSTREAM_ID].resume)


def _pause_hosts(zone):
    for host in zone.hosts[1:21]:
        host.pause()
        zone.later(zone.random.uniform(0.5, 3.0), host.resume)


def _pause_reader(zone):
    zone.reader.pause()
    zone.later(1.0, zone.reader.resume)


def _cut_some_from_upstreams(zone):
    for host in zone.hosts[1:14]:
        host.is_cut_from_upstreams = True


def _cut_all_from_upstreams(zone):
    for host in zone.hosts:
        zone.later(zone.random.uniform(0.0, 0.3), host.cut_from_upstreams)


def _cut_from_reader(zone):
    for host in zone.hosts[1:21]:
        host.is_cut_from_reader = True
        zone.later(3.0, host.rejoin_reader)


def _restart_hosts(zone):
    for number, host in enumerate(zone.hosts[1:]):
        zone.later(0.15 * number, host.start)


UPSTREAM_CASES = {
    "overloaded": _overload,
    "slow": _slow_down,
    "slow with a long queue": _slow_down_with_queue,
    "partly mute": _mute,
    "serving only long requests": _serve_long,
    "long with a long queue": _serve_long_with_queue,
    "at its connection limit": _reach_limit,
    "draining": _drain,
    "restarted under the same id": _restart,
    "restarted and mute to its former flows": _restart_mutely,
    "idle": _idle,
    "frozen for half a second": _freeze,
}
HOST_CASES = {
    "half of the hosts are paused": _pause_hosts,
    "the reader is paused": _pause_reader,
    "a third of the hosts reach no upstream": _cut_some_from_upstreams,
    "no host reaches an upstream any more": _cut_all_from_upstreams,
    "half of the hosts do not reach the reader": _cut_from_reader,
    "all hosts are restarted one after the other": _restart_hosts,
}
