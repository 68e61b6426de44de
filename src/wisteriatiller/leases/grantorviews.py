"""The view of grantors: which hosts of a zone grant its leases.

The view is stored under the key ``grantors/<zone>`` and changed by compare-and-swap. A
view with former members is in transition, as in joint consensus: a lease then requires
a majority of the members and one of the former members. The transition ends when a
majority of the former members has refused the former view for a lease duration, since
every lease granted under that view alone has then expired.
"""

import asyncio
import json
import secrets
from dataclasses import dataclass, field
from functools import cached_property

from xxhash import xxh64_intdigest

from wisteriatiller.exceptions import check_invariant
from wisteriatiller.foundation import Environment, StoreEntry, spawn
from wisteriatiller.ids import Address, HostId
from wisteriatiller.membership import Membership
from wisteriatiller.outcomes import StoreUnavailable
from wisteriatiller.placement import rank_hosts
from wisteriatiller.store import PlatformHost, read_platform_hosts

from .leasemessages import (
    AskIncarnation,
    AskView,
    Incarnation,
    ViewAdopted,
    ViewAnswer,
    ViewUpdate,
)

LEASE_S = 3.0
# The clocks of two hosts may drift apart by this much during one lease.
DRIFT_MARGIN_S = 0.3
MAX_GRANTORS = 5
# Two hosts of a zone maintain the view, which is 2 store reads a second for a zone. A
# host that does not know the latest view yet fetches it more often.
MAINTAINER_COUNT = 2
MAINTAIN_INTERVAL_S = 2.0
FETCH_INTERVAL_S = 0.3
# At the first start of a zone, hosts start at different times. The first view waits
# this long for missing ones, since a view without them would have to change at once.
FIRST_VIEW_WAIT_S = 5.0
CALL_TIMEOUT_S = 0.4
PEERS_PER_FETCH = 3
NO_ADDRESS = Address("", 0)


@dataclass(frozen=True)
class GrantorView:
    """The grantors of a zone at one revision.

    ``founders`` has the incarnations of the members' processes at the time when the
    first view was written; later views have none.
    """

    revision: int
    members: tuple[HostId, ...]
    former_members: tuple[HostId, ...] = ()
    founders: dict[HostId, int] = field(default_factory=dict)

    @cached_property
    def encoded(self) -> bytes:
        """The view as JSON, as it is stored and sent."""
        value = {
            "revision": self.revision,
            "members": list(self.members),
            "former": list(self.former_members),
            "founders": self.founders,
        }
        return json.dumps(value, sort_keys=True).encode()

    @cached_property
    def fingerprint(self) -> int:
        """A hash that distinguishes views of one revision after a store rollback."""
        return xxh64_intdigest(self.encoded)

    @property
    def all_members(self) -> tuple[HostId, ...]:
        """The members and the former members, without duplicates."""
        return tuple(dict.fromkeys(self.members + self.former_members))

    def has_majority(self, host_ids) -> bool:
        """Whether the hosts include majorities of the members and the former ones."""
        return all(
            is_majority(host_ids, group)
            for group in (self.members, self.former_members)
        )


def is_majority(host_ids, group) -> bool:
    """Whether the hosts include a majority of the group; True for an empty group."""
    return not group or len(set(host_ids) & set(group)) > len(group) // 2


def decode_view(record: bytes) -> GrantorView | None:
    """Decode a view from JSON; None if it is not valid."""
    try:
        value = json.loads(record)
        view = GrantorView(
            int(value["revision"]),
            tuple(map(HostId, value["members"])),
            tuple(map(HostId, value["former"])),
            dict(value.get("founders", {})),
        )
    except (ValueError, TypeError, KeyError):
        return None
    return view if view.members else None


class GrantorViewManager:
    """Holds the view of this host's zone and takes part in maintaining it."""

    def __init__(self, environment: Environment, membership: Membership):
        settings = environment.settings
        self.view: GrantorView | None = None
        # It must differ from those of earlier processes, also in seeded test runs.
        self.incarnation = secrets.randbits(62) + 1
        self.started_s = environment.clock.now_s()
        self._environment = environment
        self._membership = membership
        self._host_id = settings.host_id
        self._key = f"grantors/{settings.zone}"
        self._zone = settings.zone
        self._is_up_to_date = False
        self._adopted_s = 0.0
        self._last_transition_end_s = self.started_s
        self._unlisted_since_s: dict[HostId, float] = {}
        membership.subscribe(self._key, self._on_gossip)
        peers = environment.peers
        peers.register(ViewUpdate, self._handle_update)
        peers.register(AskIncarnation, self._handle_incarnation)
        peers.register(AskView, self._handle_view_request)

    @property
    def is_up_to_date(self) -> bool:
        """Whether this host is sure that it knew no newer view before a restart.

        A grantor that has lost a newer view would accept the former view again. A
        majority of such grantors would grant leases in conflict with those of the
        present view.
        """
        return self._is_up_to_date and self.view is not None

    @property
    def unbroken_memory_s(self) -> float:
        """How long this host has remembered all grants under the view in force."""
        return self._now_s() - max(self.started_s, self._last_transition_end_s)

    @property
    def is_founder(self) -> bool:
        """Whether this process remembers every grant ever made in the zone."""
        return (
            self.view is not None
            and self.view.founders.get(self._host_id) == self.incarnation
        )

    def adopt(self, view: GrantorView | None) -> None:
        """Put a view in force if it is newer than the current one, and publish it."""
        if view is None or (
            self.view is not None and view.revision <= self.view.revision
        ):
            return
        check_invariant(
            self.view is None or view.revision > self.view.revision,
            "view_revision_rises",
            zone=self._zone,
        )
        self.view = view
        self._adopted_s = self._now_s()
        if not view.former_members:
            self._last_transition_end_s = self._adopted_s
        self._membership.publish(self._key, view.revision, view.encoded.decode())

    def fetch_from(self, host_id: HostId) -> None:
        """Fetch the view from a host that knows a newer one, in a task."""
        spawn(self._fetch_view(host_id), "ask for the view of grantors")

    async def run(self) -> None:
        """Fetch the view, and maintain it while this host is a maintainer."""
        while True:
            if not self.is_up_to_date:
                await self._refresh()
            if self._is_maintainer():
                await self._maintain()
            interval_s = MAINTAIN_INTERVAL_S if self.is_up_to_date else FETCH_INTERVAL_S
            await asyncio.sleep(interval_s * self._environment.random.uniform(0.5, 1))

    def _on_gossip(self, key: str, version: int, value: object) -> None:
        if key == self._key and isinstance(value, str):
            self.adopt(decode_view(value.encode()))

    def _handle_update(self, sender: HostId, update: ViewUpdate) -> ViewAdopted:
        self.adopt(decode_view(update.view))
        if self.view is None:
            return ViewAdopted(0, 0)
        adopted_ms = int((self._now_s() - self._adopted_s) * 1000)
        return ViewAdopted(self.view.revision, adopted_ms)

    def _handle_incarnation(self, sender: HostId, ask: AskIncarnation) -> Incarnation:
        return Incarnation(self.incarnation)

    def _handle_view_request(self, sender: HostId, ask: AskView) -> ViewAnswer:
        return ViewAnswer(self.is_up_to_date, self.view.encoded if self.view else b"")

    # Fetching

    async def _refresh(self) -> None:
        """Fetch the view from the store and from a few hosts."""
        entry = await self._environment.store.get(self._key)
        if isinstance(entry, StoreEntry):
            self.adopt(decode_view(entry.value))
        others = [
            host_id
            for host_id in self._membership.live_hosts(self._zone)
            if host_id != self._host_id
        ]
        count = min(PEERS_PER_FETCH, len(others))
        await self._fetch_views(self._environment.random.sample(others, count))
        if not isinstance(entry, StoreUnavailable):
            self._is_up_to_date = True
        elif self.view is not None:
            self._is_up_to_date = await self._is_confirmed_by_members(self.view)

    async def _is_confirmed_by_members(self, view: GrantorView) -> bool:
        """Whether other members, a majority of the view, have it as their latest.

        Then no transition to a newer view can have ended, since that requires a
        majority that refuses this one.
        """
        others = [host_id for host_id in view.members if host_id != self._host_id]
        answers = await self._fetch_views(others)
        agreeing = [
            host_id
            for host_id, answer in answers.items()
            if answer.confident and answer.view == view.encoded
        ]
        return is_majority(agreeing, view.members) and view is self.view

    async def _fetch_views(self, host_ids) -> dict[HostId, ViewAnswer]:
        """Fetch and adopt the views of the hosts; those of silent ones are left out."""
        answers = await asyncio.gather(*map(self._fetch_view, host_ids))
        return {
            host_id: answer
            for host_id, answer in zip(host_ids, answers, strict=True)
            if answer is not None
        }

    async def _fetch_view(self, host_id: HostId) -> ViewAnswer | None:
        """Fetch and adopt the view of a host; None if it does not answer."""
        answer = await self._environment.peers.call(host_id, AskView(), CALL_TIMEOUT_S)
        if not isinstance(answer, ViewAnswer):
            return None
        if answer.view:
            self.adopt(decode_view(answer.view))
        return answer

    # Maintenance

    def _is_maintainer(self) -> bool:
        live = self._membership.live_hosts(self._zone)
        return self._host_id in rank_hosts(self._key, live)[:MAINTAINER_COUNT]

    async def _maintain(self) -> None:
        store = self._environment.store
        listed = await read_platform_hosts(store)
        entry = await store.get(self._key)
        if isinstance(listed, StoreUnavailable) or isinstance(entry, StoreUnavailable):
            return
        hosts = self._hosts_of_zone(listed)
        self._track_unlisted(hosts)
        index = 0
        stored = None
        if isinstance(entry, StoreEntry):
            index = entry.index
            stored = decode_view(entry.value)
            self.adopt(stored)
        if self.view is None:
            await self._write_first_view(hosts, index)
        elif stored is None or stored.revision < self.view.revision:
            # The store was rolled back to older data; the view in force is kept.
            await store.compare_and_swap(self._key, self.view.encoded, index)
        elif self.view.former_members:
            await self._complete_transition(self.view, index)
        else:
            await self._start_transition(self.view, hosts, index)

    def _hosts_of_zone(self, listed: tuple[PlatformHost, ...]) -> list[PlatformHost]:
        if not listed:
            # Without a list, the hosts that answer probes are used instead.
            live = self._membership.live_hosts(self._zone)
            listed = tuple(PlatformHost(h, self._zone, NO_ADDRESS) for h in live)
        return [host for host in listed if host.zone == self._zone]

    def _track_unlisted(self, hosts: list[PlatformHost]) -> None:
        """Record since when each member has been missing from the platform's list."""
        named = {host.host_id for host in hosts}
        known = self.view.all_members if self.view else ()
        now_s = self._now_s()
        self._unlisted_since_s = {
            host_id: self._unlisted_since_s.get(host_id, now_s)
            for host_id in known
            if host_id not in named
        }

    async def _write_first_view(self, hosts: list[PlatformHost], index: int) -> None:
        """Write the first view of the zone, with the hosts that answer."""
        staying = [host.host_id for host in hosts if not host.leaving]
        ranked = rank_hosts(self._key, staying)
        founders = {}
        peers = self._environment.peers
        answers = await asyncio.gather(
            *(
                peers.call(host_id, AskIncarnation(), CALL_TIMEOUT_S)
                for host_id in ranked
            )
        )
        for host_id, answer in zip(ranked, answers, strict=True):
            if isinstance(answer, Incarnation) and len(founders) < MAX_GRANTORS:
                founders[host_id] = answer.incarnation
        waited_s = self._now_s() - self.started_s
        if (
            len(founders) < min(MAX_GRANTORS, len(ranked))
            and waited_s < FIRST_VIEW_WAIT_S
        ):
            return
        if founders:
            view = GrantorView(1, tuple(founders), (), founders)
            await self._write_view(view, index)

    async def _start_transition(
        self, view: GrantorView, hosts: list[PlatformHost], index: int
    ) -> None:
        """Start a transition if a member is not listed or a grantor can be added.

        A leaving member stays until it is off the list: most hosts leave only to
        restart, and after each transition, the time for which grantors remember all
        leases starts anew.
        """
        named = {host.host_id for host in hosts}
        staying = {host.host_id for host in hosts if not host.leaving}
        kept = [host_id for host_id in view.members if host_id in named]
        live = set(self._membership.live_hosts(self._zone))
        ranked = rank_hosts(self._key, staying & live)
        added = [host_id for host_id in ranked if host_id not in kept]
        members = tuple((kept + added)[:MAX_GRANTORS])
        if members and set(members) != set(view.members):
            next_view = GrantorView(view.revision + 1, members, view.members)
            await self._write_view(next_view, index)

    async def _complete_transition(self, view: GrantorView, index: int) -> None:
        """End the transition once no lease of the former view alone can be valid."""
        peers = self._environment.peers
        update = ViewUpdate(view.encoded)
        answers = await asyncio.gather(
            *(peers.call(host, update, CALL_TIMEOUT_S) for host in view.all_members)
        )
        adopted_s = {
            host_id: answer.adopted_ms / 1000
            for host_id, answer in zip(view.all_members, answers, strict=True)
            if isinstance(answer, ViewAdopted) and answer.revision == view.revision
        }
        confirmed = [
            host_id
            for host_id in view.former_members
            if adopted_s.get(host_id, 0) >= LEASE_S + DRIFT_MARGIN_S
            or self._is_removed(host_id)
        ]
        if is_majority(confirmed, view.former_members) and is_majority(
            adopted_s, view.members
        ):
            await self._write_view(GrantorView(view.revision + 1, view.members), index)

    def _is_removed(self, host_id: HostId) -> bool:
        """Whether the platform removed the host and it does not answer probes."""
        since_s = self._unlisted_since_s.get(host_id)
        return (
            since_s is not None
            and self._now_s() - since_s >= LEASE_S + DRIFT_MARGIN_S
            and not self._membership.is_live(host_id)
        )

    async def _write_view(self, view: GrantorView, index: int) -> None:
        # If the answer is lost, the next round reads the outcome from the store.
        outcome = await self._environment.store.compare_and_swap(
            self._key, view.encoded, index
        )
        if not isinstance(outcome, StoreEntry):
            return
        self.adopt(view)
        for host_id in view.all_members:
            self._environment.peers.send(host_id, ViewUpdate(view.encoded))

    def _now_s(self) -> float:
        return self._environment.clock.now_s()
