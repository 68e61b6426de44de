"""Distribution of the configuration from the store to every host.

Two hosts of each zone watch the store. The others learn of a new revision by gossip and
pull the record from a host that has it. The revision on a host never decreases.
"""

import asyncio
from collections.abc import Callable

from wisteriatiller.configuration import (
    NO_RECORD,
    ConfigRecord,
    ConfigSource,
    Configuration,
    RecordInvalid,
    decode_record,
    encode_record,
    next_record,
)
from wisteriatiller.exceptions import check_invariant
from wisteriatiller.foundation import (
    Environment,
    Message,
    StoreEntry,
    log_event,
    message,
)
from wisteriatiller.ids import HostId, Revision
from wisteriatiller.membership import Membership
from wisteriatiller.outcomes import StoreUnavailable
from wisteriatiller.placement import rank_hosts

from .submission import CONFIG_KEY, read_record

GOSSIP_KEY = "config"
WATCHERS_PER_ZONE = 2
# Wait time of a long poll. It bounds how long a watch blocks on a store that was
# restored with a lower index, and how long a host waits that is no longer a watcher.
WATCH_WAIT_S = 10.0
# Avoids a tight loop of reads when the store answers its watches at once.
MIN_WATCH_INTERVAL_S = 0.1
STORE_RETRY_S = 0.5
STORE_RETRY_MAX_S = 5.0
# The watchers of all zones detect a store with older data at the same time. The jitter
# lets one of them write first, and the others then find its write.
WRITE_BACK_MAX_JITTER_S = 0.5
FOLLOW_INTERVAL_S = 1.0
# Records are distributed along a tree of this fanout, so that a watcher in a zone with
# hundreds of hosts sends each record a few times instead of hundreds of times.
PULL_FANOUT = 4
PULL_TIMEOUT_S = 2.0
PULL_RETRY_S = 0.3
MAX_PULLS_FROM_PARENT = 4


@message(60)
class ConfigPull(Message):
    """Requests the record if its revision is higher than ``known_revision``."""

    known_revision: int


@message(61)
class ConfigData(Message):
    """An encoded record, or no bytes if the host has no higher revision."""

    revision: int
    record: bytes


ConfigListener = Callable[[Configuration], None]


class ConfigFollower(ConfigSource):
    """Holds the newest configuration on this host and keeps it up to date.

    ``run`` is a background task; listeners are called with each new configuration::

        follower = ConfigFollower(environment, membership)
        follower.subscribe(ingress.set_configuration)
        task = asyncio.create_task(follower.run())
    """

    def __init__(self, environment: Environment, membership: Membership):
        self._environment = environment
        self._membership = membership
        self._host_id = environment.settings.host_id
        self._zone = environment.settings.zone
        self._record = NO_RECORD
        self._data = b""
        self._listeners: list[ConfigListener] = []
        self._tasks: asyncio.TaskGroup | None = None
        self._pull_task: asyncio.Task | None = None
        self._store_unavailable = False
        environment.peers.register(ConfigPull, self._answer_pull)
        membership.subscribe(GOSSIP_KEY, self._on_gossip)

    @property
    def configuration(self) -> Configuration:
        return self._record.configuration

    @property
    def record(self) -> ConfigRecord:
        return self._record

    @property
    def is_store_unavailable(self) -> bool:
        """Whether this host watches the store and its last read failed."""
        return self._store_unavailable

    def subscribe(self, listener: ConfigListener) -> None:
        self._listeners.append(listener)

    def watches_store(self) -> bool:
        """Return whether this host is a watcher of its zone or no watcher is known."""
        watchers = self._rank_zone_hosts("config/watch")[:WATCHERS_PER_ZONE]
        return self._host_id in watchers or not watchers

    async def run(self) -> None:
        """Follow the configuration until cancelled or until a pull task raises."""
        try:
            async with asyncio.TaskGroup() as self._tasks:
                while True:
                    if self.watches_store():
                        await self._watch_store()
                    self._store_unavailable = False
                    self._pull_if_behind()
                    await asyncio.sleep(FOLLOW_INTERVAL_S)
        except BaseExceptionGroup as group:
            raise group.exceptions[0] from group
        finally:
            self._tasks = None

    async def catch_up(
        self, host_id: HostId, revision: Revision, timeout_s: float
    ) -> bool:
        """Pull from a peer that has ``revision``; return whether this host has it."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while self._record.revision < revision:
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0:
                return False
            await self._pull_from(host_id, min(remaining_s, PULL_TIMEOUT_S))
            if self._record.revision < revision:
                await asyncio.sleep(min(PULL_RETRY_S, max(0.0, remaining_s)))
        return True

    # Watching the store.

    async def _watch_store(self) -> None:
        index = 0
        retry_s = STORE_RETRY_S
        while self.watches_store():
            read = await read_record(self._environment.store, index, WATCH_WAIT_S)
            if isinstance(read, StoreUnavailable | RecordInvalid):
                self._update_store_status(read.detail)
                index = 0
                self._pull_if_behind()
                await asyncio.sleep(retry_s * self._environment.random.uniform(0.5, 1))
                retry_s = min(2 * retry_s, STORE_RETRY_MAX_S)
                continue
            self._update_store_status(None)
            retry_s = STORE_RETRY_S
            record, index, data = read
            if record.revision > self._record.revision:
                self._apply_record(record, data, "store")
            elif record.submission_id != self._record.submission_id:
                await self._write_back()
                index = 0
            await asyncio.sleep(MIN_WATCH_INTERVAL_S)

    def _update_store_status(self, failure: str | None) -> None:
        if (failure is not None) == self._store_unavailable:
            return
        self._store_unavailable = failure is not None
        if failure is not None:
            log_event("store_unavailable", level="warning", detail=failure)
        else:
            log_event("store_available", revision=self._record.revision)

    async def _write_back(self) -> None:
        """Write this host's record back to a store that was restored with older data.

        A submission on top of the older data is kept: it is written again as the
        revision after this host's, since hosts would never apply it under the lower
        revision that it got.
        """
        jitter_s = self._environment.random.uniform(0.0, WRITE_BACK_MAX_JITTER_S)
        await asyncio.sleep(jitter_s)
        read = await read_record(self._environment.store)
        if isinstance(read, StoreUnavailable | RecordInvalid):
            return
        stored, index, _ = read
        if stored.revision > self._record.revision:
            return
        if stored.submission_id == self._record.submission_id:
            return
        record, data = self._record_to_restore(stored)
        if isinstance(data, RecordInvalid):
            log_event("config_not_reissued", level="error", detail=data.detail)
            return
        outcome = await self._environment.store.compare_and_swap(
            CONFIG_KEY, data, index if stored.revision else 0
        )
        if isinstance(outcome, StoreEntry):
            self._environment.metrics.count("config.written_back")
            log_event(
                "config_written_back",
                level="warning",
                revision=record.revision,
                store_revision=stored.revision,
            )

    def _record_to_restore(
        self, stored: ConfigRecord
    ) -> tuple[ConfigRecord, bytes | RecordInvalid]:
        """Return the record to write to a store that holds the older ``stored``."""
        record = self._record
        if not stored.revision or record.contains(stored.submission_id):
            return record, self._data
        record = next_record(record, stored.configuration, stored.submission_id)
        return record, encode_record(record)

    # Pulling from peers.

    def _on_gossip(self, key: str, version: int, value: object) -> None:
        if key == GOSSIP_KEY:
            self._pull_if_behind()

    def _pull_if_behind(self) -> None:
        known = self._membership.gossiped_value(GOSSIP_KEY)
        if known is None or known[0] <= self._record.revision or self._tasks is None:
            return
        if self._pull_task is None or self._pull_task.done():
            self._pull_task = self._tasks.create_task(self._pull_until_current())

    async def _pull_until_current(self) -> None:
        """Pull until this host has the highest revision known by gossip."""
        attempt = 0
        while True:
            known = self._membership.gossiped_value(GOSSIP_KEY)
            if known is None or known[0] <= self._record.revision:
                return
            source = self._choose_pull_source(known[0], HostId(str(known[1])), attempt)
            if source is not None:
                await self._pull_from(source, PULL_TIMEOUT_S)
            attempt += 1
            if known[0] > self._record.revision:
                factor = min(2 ** max(0, attempt - 2 * MAX_PULLS_FROM_PARENT), 8)
                jitter = self._environment.random.uniform(0.5, 1.0)
                await asyncio.sleep(PULL_RETRY_S * factor * jitter)

    def _choose_pull_source(
        self, revision: int, sender: HostId, attempt: int
    ) -> HostId | None:
        """Return the host to pull from in this attempt.

        The first attempts go to the parent in the distribution tree. Later ones
        alternate between the host that gossiped the revision and a random host of this
        zone.
        """
        parent = self._distribution_parent(revision)
        if attempt < MAX_PULLS_FROM_PARENT and parent is not None:
            return parent
        hosts = self._rank_zone_hosts("config/watch")
        others = [host_id for host_id in hosts if host_id != self._host_id]
        if sender != self._host_id and (attempt % 2 == 0 or not others):
            return sender
        return self._environment.random.choice(others) if others else None

    def _distribution_parent(self, revision: int) -> HostId | None:
        """Return this host's parent in the distribution tree of a revision.

        The order of the tree changes with the revision, to spread the load of sending.
        Watchers are its roots and have no parent.
        """
        watchers = self._rank_zone_hosts("config/watch")[:WATCHERS_PER_ZONE]
        if self._host_id in watchers:
            return None
        rest = [
            h for h in self._rank_zone_hosts(f"config/{revision}") if h not in watchers
        ]
        order = watchers + rest
        if self._host_id not in order:
            return None
        position = order.index(self._host_id)
        parent = order[(position - len(watchers)) // PULL_FANOUT]
        return None if parent == self._host_id else parent

    def _rank_zone_hosts(self, key: str) -> list[HostId]:
        return rank_hosts(key, self._membership.live_hosts(self._zone))

    async def _pull_from(self, host_id: HostId, timeout_s: float) -> None:
        request = ConfigPull(self._record.revision)
        answer = await self._environment.peers.call(host_id, request, timeout_s)
        if not isinstance(answer, ConfigData) or not answer.record:
            return
        record = decode_record(answer.record)
        if isinstance(record, RecordInvalid):
            log_event(
                "config_record_invalid",
                level="error",
                host=host_id,
                detail=record.detail,
            )
        elif record.revision > self._record.revision:
            self._apply_record(record, answer.record, host_id)

    def _answer_pull(self, sender: HostId, request: ConfigPull) -> ConfigData:
        if request.known_revision >= self._record.revision:
            return ConfigData(self._record.revision, b"")
        return ConfigData(self._record.revision, self._data)

    # Applying a revision.

    def _apply_record(self, record: ConfigRecord, data: bytes, source: str) -> None:
        check_invariant(
            record.revision > self._record.revision,
            "config_revision_rises",
            revision=record.revision,
            former=self._record.revision,
        )
        self._record = record
        self._data = data
        self._environment.metrics.gauge("config.revision", record.revision)
        log_event("config_applied", revision=record.revision, source=source)
        for listener in self._listeners:
            listener(record.configuration)
        self._membership.publish(GOSSIP_KEY, record.revision, self._host_id)
