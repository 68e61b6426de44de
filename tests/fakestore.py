"""A store on virtual time, and what keeps its answers from a host."""

from collections import Counter, deque

from tests.steeringharness import make_listing
from wisteriatiller.steering.ports import (
    ConfigMissing,
    ConfigRead,
    ConfigUnchanged,
    HistoryExpired,
    StoreFailure,
    StoreFailureReason,
    StoreReader,
)

ANSWER_S = 0.004
STORE_TIMEOUT_S = 1.0
WATCH_POLL_S = 0.02
# A route as the store writes it: JSON, in base64, in JSON.
STORE_BYTES_PER_ROUTE = 260

TIMEOUT = StoreFailure(StoreFailureReason.UNREACHABLE, "timeout")
REFUSAL = StoreFailure(StoreFailureReason.REFUSED, "status 503")
TOO_MANY = StoreFailure(StoreFailureReason.REFUSED, "status 429")
TOO_LARGE = StoreFailure(StoreFailureReason.UNREACHABLE, "too_large")


class FakeStoreState:
    """What the store holds, and who reaches it."""

    def __init__(self):
        self.revision = 1
        self.config = None
        self.config_revision = 0
        self.upstreams = ()
        self.silent_for = set()
        # Hosts whose calls for the configuration get no answer, while listings do.
        self.config_silent_for = set()
        self.refuses = set()
        self.history_lost = False
        self.calls = 0
        self.calls_by = Counter()
        # Calls that the store takes in a second, and the pages of a listing.
        self.reads_per_s = None
        self.pages = 1
        self.answer_s = ANSWER_S
        self._taken = deque()
        # The links of the hosts, towards the store and towards each other.
        self.link_bytes_per_s = None
        # Reads that need not be current show what was there this long ago.
        self.stale_s = 0.0
        self._listings = []
        # The answer of a watch holds each change since its revision; a host takes no
        # larger one than this.
        self.max_watch_routes = None
        self._puts = []

    def take_calls(self, name, calls, now_s):
        """Count calls; False if they are more than the store takes in a second."""
        self.calls += calls
        self.calls_by[name] += calls
        if self.reads_per_s is None:
            return True
        while self._taken and self._taken[0] <= now_s - 1.0:
            self._taken.popleft()
        if len(self._taken) + calls > self.reads_per_s:
            return False
        self._taken.extend([now_s] * calls)
        return True

    def put_config(self, config):
        self.revision += 1
        self.config = config
        self.config_revision = self.revision
        self._puts.append((self.revision, len(config.routes)))

    def put_upstreams(self, now_s, *upstreams):
        self.revision += 1
        self.upstreams = upstreams
        self._listings.append((now_s, make_listing(self.revision, *upstreams)))

    def listing(self, is_current, now_s):
        if is_current or not self.stale_s:
            return make_listing(self.revision, *self.upstreams)
        seen_s = now_s - self.stale_s
        old = [made for put_at_s, made in self._listings if put_at_s <= seen_s]
        return old[-1] if old else self._listings[0][1]

    def is_too_large(self, after):
        """Whether the changes since a revision are more than a watch can bring."""
        if self.max_watch_routes is None:
            return False
        routes = sum(routes for revision, routes in self._puts if revision > after)
        return routes > self.max_watch_routes


class FakeConnection:
    """The connection of one call to the store; a stalled one brings nothing further."""

    def __init__(self, scheduler, *silent_groups):
        self._scheduler = scheduler
        self._silent_groups = silent_groups
        self.is_stalled = False

    def begin(self):
        """Begin a call, on a new connection."""
        self.is_stalled = False

    def is_silent_for(self, name):
        return self.is_stalled or any(name in group() for group in self._silent_groups)

    def fail_at(self, deadline_s, on_answer):
        """Let the call time out."""
        wait_s = max(0.0, deadline_s - self._scheduler.now_s())
        self._scheduler.call_later(wait_s, lambda: on_answer(TIMEOUT))


class FakeStore(StoreReader):
    """One host's access to the state."""

    def __init__(self, scheduler, state, settings):
        self._scheduler = scheduler
        self._state = state
        self._name = settings.host_id
        self._watch_slack_s = settings.watch_slack_s
        self._config_connection = FakeConnection(
            scheduler, lambda: state.silent_for, lambda: state.config_silent_for
        )
        self._list_connection = FakeConnection(scheduler, lambda: state.silent_for)

    def read_config(self, on_answer):
        self._answer(
            self._config_connection, on_answer, self._config, self._config_transfer_s()
        )

    def watch_config(self, after, wait_s, on_answer):
        self._config_connection.begin()
        self._state.take_calls(self._name, 1, self._scheduler.now_s())
        self._poll(after, self._scheduler.now_s() + wait_s, on_answer)

    def list_upstreams(self, is_current, on_answer):
        def make():
            return self._state.listing(is_current, self._scheduler.now_s())

        pages = self._state.pages
        transfer_s = ANSWER_S * (pages - 1)
        self._answer(self._list_connection, on_answer, make, transfer_s, pages)

    def set_address(self, address):
        raise NotImplementedError

    def stall(self):
        """Let the open connections fall silent for good; new ones work."""
        self._config_connection.is_stalled = True
        self._list_connection.is_stalled = True

    def _poll(self, after, end_s, on_answer):
        now_s = self._scheduler.now_s()
        connection = self._config_connection
        if self._name in self._state.refuses:
            self._end_later(on_answer, REFUSAL)
        elif connection.is_silent_for(self._name):
            connection.fail_at(end_s + self._watch_slack_s, on_answer)
        elif self._state.history_lost:
            self._end_later(on_answer, HistoryExpired())
        elif self._state.config_revision > after:
            answer = TOO_LARGE if self._state.is_too_large(after) else self._config()
            self._end_later(on_answer, answer, self._config_transfer_s())
        elif now_s >= end_s:
            on_answer(ConfigUnchanged(self._state.revision))
        else:
            self._scheduler.call_later(
                WATCH_POLL_S, lambda: self._poll(after, end_s, on_answer)
            )

    def _end_later(self, on_answer, answer, transfer_s=0.0):
        self._scheduler.call_later(ANSWER_S + transfer_s, lambda: on_answer(answer))

    def _config(self):
        if self._state.config is None:
            return ConfigMissing(self._state.revision)
        return ConfigRead(self._state.revision, self._state.config)

    def _config_transfer_s(self):
        """How long the host's link takes for the configuration."""
        config = self._state.config
        if config is None or self._state.link_bytes_per_s is None:
            return 0.0
        return len(config.routes) * STORE_BYTES_PER_ROUTE / self._state.link_bytes_per_s

    def _answer(self, connection, on_answer, make, transfer_s=0.0, calls=1):
        connection.begin()
        now_s = self._scheduler.now_s()
        is_taken = self._state.take_calls(self._name, calls, now_s)
        if self._name in self._state.refuses:
            self._end_later(on_answer, REFUSAL)
            return
        deadline_s = now_s + STORE_TIMEOUT_S
        if connection.is_silent_for(self._name):
            connection.fail_at(deadline_s, on_answer)
            return
        if not is_taken:
            self._end_later(on_answer, TOO_MANY)
            return

        def answer():
            if connection.is_stalled:
                connection.fail_at(deadline_s, on_answer)
            else:
                on_answer(make())

        self._scheduler.call_later(self._state.answer_s + transfer_s, answer)
