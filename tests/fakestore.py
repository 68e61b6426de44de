"""A fake store on virtual time, with faults that can be injected into its answers."""

from collections import Counter, deque
from typing import NamedTuple

from tests.steeringharness import make_listing
from wisteriatiller.ids import Revision, StoreEpoch, StorePosition, ZoneId
from wisteriatiller.steering import Listing, RouteConfig, Upstream
from wisteriatiller.steering.evacuation import (
    EvacuationChanges,
    EvacuationSet,
    ZoneChange,
)
from wisteriatiller.steering.listingpages import join_pages
from wisteriatiller.steering.ports import (
    ConfigMissing,
    ConfigRead,
    ConfigUnchanged,
    HistoryExpired,
    StoreFailure,
    StoreFailureReason,
    StoreReader,
)

ANSWER_DELAY_S = 0.004
STORE_TIMEOUT_S = 1.0
WATCH_POLL_INTERVAL_S = 0.02
# The size of a route in an answer: JSON that is base64-encoded within JSON.
STORE_BYTES_PER_ROUTE = 260

TIMEOUT = StoreFailure(StoreFailureReason.UNREACHABLE, "timeout")
REFUSAL = StoreFailure(StoreFailureReason.REFUSED, "status 503")
RATE_LIMITED = StoreFailure(StoreFailureReason.REFUSED, "status 429")
UNREADABLE = StoreFailure(StoreFailureReason.UNREADABLE, "ValueError()")
MIXED_EPOCHS = StoreFailure(
    StoreFailureReason.MIXED_EPOCHS, "page of epoch 1 after one of 2"
)
ANSWER_TOO_LARGE = StoreFailure(StoreFailureReason.UNREADABLE, "too_large")


class StoreCopy(NamedTuple):
    """The contents of the store at one moment, to restore later."""

    revision: int
    config: RouteConfig | None
    config_revision: int
    upstreams: tuple[Upstream, ...]
    config_puts: tuple[tuple[int, int], ...]
    zone_events: tuple["ZoneEvent", ...]


class ZoneEvent(NamedTuple):
    """An evacuation that was written or removed, or an unrelated key without a zone."""

    revision: int
    zone: ZoneId | None
    is_evacuated: bool


class FakeStoreState:
    """The contents, limits and injected faults of a store that several hosts read."""

    def __init__(self):
        self.epoch = StoreEpoch(1)
        self.revision = 1
        self.config = None
        self.config_revision = 0
        self.upstreams = ()
        # Names of hosts that get no answer to any call.
        self.silent_hosts = set()
        # Names of hosts that get no answer about the configuration, only listings.
        self.config_silent_hosts = set()
        # Names of hosts whose calls fail with status 503.
        self.refused_hosts = set()
        # The failure of all listings, while the configuration is answered.
        self.listing_failure = None
        self.is_history_lost = False
        self.calls = 0
        self.calls_by_host = Counter()
        # Reads beyond this rate fail with status 429; watches count but do not fail.
        # Each page of a listing is one call.
        self.max_calls_per_s = None
        self.listing_pages = 1
        self.answer_delay_s = ANSWER_DELAY_S
        self._call_times_s = deque()
        # Bandwidth of each host's link to the store and to other hosts; None: no limit.
        self.link_bytes_per_s = None
        # Listings that need not be current show the state of this many seconds ago.
        self.stale_read_lag_s = 0.0
        self._listing_history = []
        # Unless it is empty, such a listing has two pages, and each lags by the next of
        # these times more. The first page ends with the next id of ``page_ends``.
        self.stale_page_lags_s = ()
        self.page_ends = ("i-1",)
        self._stale_pages = 0
        # The answer of a watch holds every change since its revision. Hosts reject one
        # with more routes than this.
        self.max_watch_routes = None
        self._config_puts = []
        self.zone_events = []

    @property
    def position(self):
        """The point in its history that an answer given now belongs to."""
        return StorePosition(self.epoch, Revision(self.revision))

    def admit_calls(self, name, calls, now_s):
        """Count calls of a host; False if they exceed the limit per second."""
        self.calls += calls
        self.calls_by_host[name] += calls
        if self.max_calls_per_s is None:
            return True
        while self._call_times_s and self._call_times_s[0] <= now_s - 1.0:
            self._call_times_s.popleft()
        if len(self._call_times_s) + calls > self.max_calls_per_s:
            return False
        self._call_times_s.extend([now_s] * calls)
        return True

    def put_config(self, config):
        """Publish a configuration at the next revision."""
        self.revision += 1
        self.config = config
        self.config_revision = self.revision
        self._config_puts.append((self.revision, len(config.routes)))

    def set_evacuated(self, zone, is_evacuated=True):
        """Write or remove the evacuation of a zone at the next revision."""
        self.revision += 1
        self.zone_events.append(ZoneEvent(self.revision, ZoneId(zone), is_evacuated))

    def put_unrelated_key(self):
        """Write a key beside the evacuations that means nothing to hosts."""
        self.revision += 1
        self.zone_events.append(ZoneEvent(self.revision, None, False))

    def evacuated_zones(self):
        """The zones whose evacuation is written now."""
        newest = {event.zone: event.is_evacuated for event in self.zone_events}
        return frozenset(zone for zone, is_evacuated in newest.items() if is_evacuated)

    def zone_events_after(self, revision):
        return [event for event in self.zone_events if event.revision > revision]

    def put_upstreams(self, now_s, *upstreams):
        """Replace all upstream entries at the next revision."""
        self.revision += 1
        self.upstreams = upstreams
        self._listing_history.append(
            (now_s, make_listing(self.revision, *upstreams, epoch=self.epoch))
        )

    def take_copy(self):
        return StoreCopy(
            self.revision,
            self.config,
            self.config_revision,
            self.upstreams,
            tuple(self._config_puts),
            tuple(self.zone_events),
        )

    def restore(self, copy, now_s):
        """Go back to a copy: what was written since is lost, and a new epoch begins."""
        self.epoch += 1
        self.revision = copy.revision
        self.config = copy.config
        self.config_revision = copy.config_revision
        self.upstreams = copy.upstreams
        self._config_puts = list(copy.config_puts)
        self.zone_events = list(copy.zone_events)
        listing = make_listing(self.revision, *self.upstreams, epoch=self.epoch)
        self._listing_history.append((now_s, listing))

    def has_history_after(self, revision):
        """Whether a watch from a revision can be answered."""
        return not self.is_history_lost and revision <= self.revision

    def read_listing(self, is_current, now_s):
        """The current listing, or the stale one if that is good enough."""
        if is_current or not (self.stale_read_lag_s or self.stale_page_lags_s):
            return self._current_listing()
        if not self.stale_page_lags_s:
            return self._listing_at(self.stale_read_lag_s, now_s)
        first, second = (
            self._listing_at(self._next_page_lag_s(), now_s) for _ in range(2)
        )
        last_id = self.page_ends[self._stale_pages // 2 % len(self.page_ends)]
        return _joined(first, second, last_id)

    def _next_page_lag_s(self):
        self._stale_pages += 1
        lags_s = self.stale_page_lags_s
        return self.stale_read_lag_s + lags_s[self._stale_pages % len(lags_s)]

    def _listing_at(self, lag_s, now_s):
        """The listing as of some time ago."""
        if not lag_s:
            return self._current_listing()
        past = [
            listing
            for put_at_s, listing in self._listing_history
            if put_at_s <= now_s - lag_s
        ]
        return past[-1] if past else self._listing_history[0][1]

    def _current_listing(self):
        return make_listing(self.revision, *self.upstreams, epoch=self.epoch)

    def exceeds_watch_limit(self, after):
        """Whether the changes since a revision exceed what a host accepts at once."""
        if self.max_watch_routes is None:
            return False
        routes = sum(
            routes for revision, routes in self._config_puts if revision > after
        )
        return routes > self.max_watch_routes


def _joined(first, second, last_id):
    """A listing whose first page ends with an id and whose second one is another's."""
    if first.epoch != second.epoch:
        return MIXED_EPOCHS
    upstreams = [one for one in first.upstreams if one.upstream_id <= last_id]
    upstreams += [one for one in second.upstreams if one.upstream_id > last_id]
    (first_page,), (second_page,) = first.pages, second.pages
    pages = join_pages((first_page._replace(last_id=last_id.encode()), second_page))
    return Listing(pages, tuple(upstreams), frozenset(), first.epoch)


class FakeConnection:
    """One host's connection to the store for one kind of call.

    A stalled connection delivers nothing until the next call opens a new one.
    """

    def __init__(self, scheduler, *silent_host_sets):
        self._scheduler = scheduler
        self._silent_host_sets = silent_host_sets
        self.is_stalled = False

    def reconnect(self):
        """Open a new connection, which is not stalled."""
        self.is_stalled = False

    def is_silent_to(self, name):
        """Whether a call of this host on the connection gets no answer."""
        return self.is_stalled or any(
            name in hosts() for hosts in self._silent_host_sets
        )

    def time_out_at(self, deadline_s, on_answer):
        """Fail the call with a timeout at its deadline, or now if that has passed."""
        wait_s = max(0.0, deadline_s - self._scheduler.now_s())
        self._scheduler.call_later(wait_s, lambda: on_answer(TIMEOUT))


class FakeStore(StoreReader):
    """One host's client of the fake store."""

    def __init__(self, scheduler, state, settings):
        self._scheduler = scheduler
        self._state = state
        self._name = settings.host_id
        self._watch_slack_s = settings.watch_slack_s
        self._has_evacuations = settings.has_evacuations
        self._config_connection = FakeConnection(
            scheduler, lambda: state.silent_hosts, lambda: state.config_silent_hosts
        )
        self._list_connection = FakeConnection(scheduler, lambda: state.silent_hosts)

    def read_config(self, on_answer):
        self._complete_call(
            self._config_connection,
            on_answer,
            self._read_answer,
            self._config_transfer_s(),
        )

    def watch_config(self, after, wait_s, on_answer):
        self._config_connection.reconnect()
        self._state.admit_calls(self._name, 1, self._scheduler.now_s())
        self._poll_watch(after, self._scheduler.now_s() + wait_s, on_answer)

    def list_upstreams(self, is_current, on_answer):
        def make_answer():
            if self._state.listing_failure is not None:
                return self._state.listing_failure
            return self._state.read_listing(is_current, self._scheduler.now_s())

        pages = self._state.listing_pages
        transfer_s = ANSWER_DELAY_S * (pages - 1)
        self._complete_call(
            self._list_connection, on_answer, make_answer, transfer_s, pages
        )

    def set_address(self, address):
        raise NotImplementedError

    def stall_connections(self):
        """Stall the open connections for good; connections opened later work."""
        self._config_connection.is_stalled = True
        self._list_connection.is_stalled = True

    def _poll_watch(self, after, end_s, on_answer):
        """Complete a watch that fails, sees a change or ends; else poll again."""
        now_s = self._scheduler.now_s()
        connection = self._config_connection
        if self._name in self._state.refused_hosts:
            self._complete_later(on_answer, REFUSAL)
        elif connection.is_silent_to(self._name):
            connection.time_out_at(end_s + self._watch_slack_s, on_answer)
        elif not self._state.has_history_after(after):
            self._complete_later(on_answer, HistoryExpired(self._state.position))
        elif self._state.config_revision > after:
            answer = (
                ANSWER_TOO_LARGE
                if self._state.exceeds_watch_limit(after)
                else self._with_changes(self._config_answer(), after)
            )
            self._complete_later(on_answer, answer, self._config_transfer_s())
        elif self._has_evacuations and self._state.zone_events_after(after):
            answer = ConfigUnchanged(self._state.position)
            self._complete_later(on_answer, self._with_changes(answer, after))
        elif now_s >= end_s:
            answer = ConfigUnchanged(self._state.position)
            on_answer(self._with_changes(answer, after))
        else:
            self._scheduler.call_later(
                WATCH_POLL_INTERVAL_S, lambda: self._poll_watch(after, end_s, on_answer)
            )

    def _complete_later(self, on_answer, answer, transfer_s=0.0):
        """Deliver an answer after the usual delay and its transfer time."""
        self._scheduler.call_later(
            ANSWER_DELAY_S + transfer_s, lambda: on_answer(answer)
        )

    def _read_answer(self):
        answer = self._config_answer()
        if not self._has_evacuations:
            return answer
        zones = EvacuationSet(self._state.evacuated_zones())
        return answer._replace(evacuations=zones)

    def _with_changes(self, answer, after):
        """Add the changes of evacuations to the answer of a watch, if it has them."""
        if not self._has_evacuations:
            return answer
        changes = tuple(
            ZoneChange(event.zone, event.is_evacuated)
            for event in self._state.zone_events_after(after)
            if event.zone is not None
        )
        return answer._replace(evacuations=EvacuationChanges(changes))

    def _config_answer(self):
        """The configuration of the current state, or that there is none."""
        if self._state.config is None:
            return ConfigMissing(self._state.position)
        return ConfigRead(self._state.position, self._state.config)

    def _config_transfer_s(self):
        """The time to transfer the configuration over the host's link."""
        config = self._state.config
        if config is None or self._state.link_bytes_per_s is None:
            return 0.0
        return len(config.routes) * STORE_BYTES_PER_ROUTE / self._state.link_bytes_per_s

    def _complete_call(
        self, connection, on_answer, make_answer, transfer_s=0.0, calls=1
    ):
        """Answer a call that the store admits; otherwise fail it.

        ``make_answer`` runs when the answer is due, so that it shows the state of then.
        """
        connection.reconnect()
        now_s = self._scheduler.now_s()
        is_admitted = self._state.admit_calls(self._name, calls, now_s)
        if self._name in self._state.refused_hosts:
            self._complete_later(on_answer, REFUSAL)
            return
        deadline_s = now_s + STORE_TIMEOUT_S
        if connection.is_silent_to(self._name):
            connection.time_out_at(deadline_s, on_answer)
            return
        if not is_admitted:
            self._complete_later(on_answer, RATE_LIMITED)
            return

        def complete():
            if connection.is_stalled:
                connection.time_out_at(deadline_s, on_answer)
            else:
                on_answer(make_answer())

        self._scheduler.call_later(self._state.answer_delay_s + transfer_s, complete)
