"""Reachability of the other zones, by the time of the last reply from each."""

from collections.abc import Callable

from wisteriatiller.foundation import Environment, log_event, notify_listener
from wisteriatiller.ids import ZoneId

from .hosttable import HostTable, KnownHost

ZONE_TIMEOUT_S = 5.0
# A zone that was silent for this long is pinged at each periodic check. It is then held
# cut off by packet loss alone only if a dozen exchanges in a row are lost.
ZONE_QUIET_S = 2.0

ZoneListener = Callable[[ZoneId, bool], None]


class ZoneReachability:
    """Tracks when each other zone last replied, and which zones are cut off."""

    def __init__(self, environment: Environment, hosts: HostTable):
        self._zone = environment.settings.zone
        self._clock = environment.clock
        self._random = environment.random
        self._metrics = environment.metrics
        self._hosts = hosts
        self._last_heard_s: dict[ZoneId, float] = {}
        self._cut: set[ZoneId] = set()
        self._listeners: list[ZoneListener] = []

    def is_reachable(self, zone: ZoneId) -> bool:
        return zone == self._zone or (
            zone in self._last_heard_s and zone not in self._cut
        )

    def is_cut_off(self, zone: ZoneId) -> bool:
        return zone in self._cut

    def subscribe(self, listener: ZoneListener) -> None:
        """Call ``listener(zone, reachable)`` when a zone's reachability changes."""
        self._listeners.append(listener)

    def known_zones(self) -> list[ZoneId]:
        """Return the other zones with a host that is not dead, also those cut off."""
        return [zone for zone in self._last_heard_s if self._hosts.hosts_not_dead(zone)]

    def random_reachable_zone(self) -> ZoneId | None:
        """Return a random other zone that is not cut off, or None."""
        zones = [zone for zone in self.known_zones() if zone not in self._cut]
        return self._random.choice(zones) if zones else None

    def random_exchange_partner(self) -> KnownHost | None:
        """Return a random host of a reachable other zone, or else of this zone."""
        zone = self.random_reachable_zone()
        if zone is None:
            hosts = self._hosts.zone_peers()
        else:
            hosts = self._hosts.hosts_not_dead(zone)
        return self._random.choice(hosts) if hosts else None

    def add_zone(self, zone: ZoneId) -> None:
        """Start the timer of a zone when its first host becomes known."""
        if zone != self._zone:
            self._last_heard_s.setdefault(zone, self._clock.now_s())

    def record_answer(self, zone: ZoneId) -> None:
        """Record a reply from a host of the zone, which shows that it is reachable."""
        if zone == self._zone:
            return
        self._last_heard_s[zone] = self._clock.now_s()
        if zone in self._cut:
            self._cut.discard(zone)
            self._report_change(zone, reachable=True)

    def reset_timers(self) -> None:
        """Restart the timers of all zones after a stall of this host."""
        now_s = self._clock.now_s()
        for zone in self._last_heard_s:
            self._last_heard_s[zone] = now_s

    def check_reachability(
        self,
        contact_cut_zone: Callable[[KnownHost], None],
        contact_quiet_zone: Callable[[KnownHost], None],
    ) -> None:
        """Report zones that timed out, and contact a host of each silent zone."""
        now_s = self._clock.now_s()
        for zone, heard_s in tuple(self._last_heard_s.items()):
            hosts = self._hosts.hosts_not_dead(zone)
            if not hosts:
                del self._last_heard_s[zone]
                self._cut.discard(zone)
                continue
            silent_s = now_s - heard_s
            if silent_s > ZONE_TIMEOUT_S and zone not in self._cut:
                self._cut.add(zone)
                self._report_change(zone, reachable=False)
            if zone in self._cut:
                contact_cut_zone(self._random.choice(hosts))
            elif silent_s > ZONE_QUIET_S:
                contact_quiet_zone(self._random.choice(hosts))

    def _report_change(self, zone: ZoneId, reachable: bool) -> None:
        log_event("zone", zone=zone, reachable=reachable)
        self._metrics.count(f"membership.zone_{'back' if reachable else 'cut'}")
        for listener in self._listeners:
            notify_listener(self._metrics, listener, zone, reachable)
