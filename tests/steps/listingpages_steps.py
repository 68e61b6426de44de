"""Steps for pages of different ages."""

from behave import given, then, when
from hypothesis import given as hypothesis_given, settings, strategies

from testbed.steeringparts import VirtualScheduler, steering_settings, upstream
from tests.listinghosts import FIRST_REVISION, ListingHost, PagedStore
from tests.manualstore import ManualStore
from tests.steeringfakes import RecordingStateObserver
from tests.steps.listings_steps import page
from wisteriatiller.exceptions import MessageError
from wisteriatiller.ids import NO_EPOCH, Revision, StoreEpoch, StorePosition
from wisteriatiller.platform.operatorvalues import OperatorValuesBuilder
from wisteriatiller.platform.store import ListingBuilder
from wisteriatiller.steering import Listing, UpstreamState
from wisteriatiller.steering.directory import Presence, UpstreamDirectory
from wisteriatiller.steering.directorypoller import DirectoryPoller
from wisteriatiller.steering.listingpages import ListingPage, join_pages, single_page
from wisteriatiller.steering.ports import StoreFailure, StoreFailureReason
from wisteriatiller.steering.snapshots import SnapshotEncoder, decode_snapshot
from wisteriatiller.steering.upstreams import ListingDelta

NAMES = tuple("123456")


@given(
    "a store with upstreams 1 to 6 where at revision {revision:d} upstream {name} "
    "{change}"
)
def given_store(context, revision, name, change):
    context.store = PagedStore(NAMES)
    context.store.change(revision, name, change)


@given("a store with upstreams 1 to 6 that was restored")
def given_restored(context):
    context.store = PagedStore(NAMES)
    context.store.restore()


@given("at revision {revision:d} upstream {name} drains")
def given_drains(context, revision, name):
    context.store.change(revision, name, "drains")


@given("a host without a listing")
def given_host(context):
    context.host = ListingHost()


@given("a host that has read all at revision {revision:d}")
def given_has_read(context, revision):
    given_host(context)
    context.host.read(context.store.read((revision, None)))


@given("a host that has read the lost history at revision {revision:d}")
def given_has_read_lost(context, revision):
    given_host(context)
    when_reads_lost(context, revision)


@given("a follower that has copied it")
def given_follower(context):
    context.follower = ListingHost(number=2)
    context.follower.ask(context.host)


@when(
    "it reads ids up to {last} at revision {first:d} and the others at revision "
    "{second:d}"
)
def when_reads(context, last, first, second):
    context.host.read(context.store.read((first, last), (second, None)))


@when(
    "the follower reads ids up to {last} at revision {first:d} and the others at "
    "revision {second:d}"
)
def when_follower_reads(context, last, first, second):
    context.follower.read(context.store.read((first, last), (second, None)))


@when("it reads the lost history at revision {revision:d}")
def when_reads_lost(context, revision):
    lost = context.store.epoch - 1
    context.host.read(context.store.read((revision, None), epoch=lost))


@when("the follower asks it")
def when_follower_asks(context):
    context.follower.directory.last_read_at_s = None
    context.answer = context.follower.ask(context.host)


@when("it asks the follower")
def when_asks_follower(context):
    context.host.ask(context.follower)


@when("the follower gets its answer without the entries")
def when_answer_without_entries(context):
    context.follower.directory.last_read_at_s = None
    answer = context.host.answer_to(context.follower)
    context.follower.take(context.host.peer, answer._replace(listing_delta=None))


def check_known(context, host, name, revision):
    expected = context.store.entries(revision, context.store.epoch).get(name)
    entry = host.directory.get(f"i-{name}")
    is_eligible = entry in host.directory.eligible_entries("stock")
    if expected is None:
        assert entry is None or entry.presence is Presence.GONE, entry.presence
        assert not is_eligible
        return
    assert entry.presence is Presence.LISTED, entry.presence
    assert entry.upstream == expected, entry.upstream
    assert is_eligible == (expected.state is UpstreamState.READY)


@then("it knows upstream {name} as at revision {revision:d}")
def then_knows(context, name, revision):
    check_known(context, context.host, name, revision)


@then("the follower knows upstream {name} as at revision {revision:d}")
def then_follower_knows(context, name, revision):
    check_known(context, context.follower, name, revision)


@then("pages of revision {older:d} are reported as older than revision {known:d}")
def then_reported(context, older, known):
    (found,) = context.host.observer.rejected_pages
    epoch = context.store.epoch
    assert found.position == StorePosition(epoch, Revision(older)), found
    assert found.known_position == StorePosition(epoch, Revision(known)), found


@then("the lost history is reported as older")
def then_lost_reported(context):
    (found,) = context.host.observer.rejected_pages
    assert found.is_whole, found
    assert found.position.epoch < found.known_position.epoch, found


@then("nothing is reported as older")
def then_none_reported(context):
    assert not context.host.observer.rejected_pages


@then("the follower gets no entry and has confirmed its listing")
def then_confirmed(context):
    assert context.answer.listing_delta is None
    assert context.follower.directory.last_read_at_s == context.follower.now_s


@then("the follower has not confirmed its listing")
def then_not_confirmed(context):
    assert context.follower.directory.last_read_at_s is None


@then("both have the same listing")
def then_same(context):
    one, other = context.host.directory, context.follower.directory
    assert one.version == other.version
    assert set(one.listing.upstreams) == set(other.listing.upstreams)


HOSTS = 3
HISTORY_NAMES = "abcdef"
STEPS = strategies.one_of(
    strategies.tuples(
        strategies.just("change"),
        strategies.sampled_from(HISTORY_NAMES),
        strategies.sampled_from(("ready", "draining", "removed")),
    ),
    strategies.tuples(
        strategies.just("read"),
        strategies.integers(0, HOSTS - 1),
        # How far each page is behind, and the last id of each but the last page.
        strategies.lists(strategies.integers(0, 4), min_size=3, max_size=3),
        strategies.lists(
            strategies.sampled_from(HISTORY_NAMES), max_size=2, unique=True
        ).map(sorted),
    ),
    strategies.tuples(strategies.just("restore"), strategies.integers(1, 5)),
    strategies.tuples(
        strategies.just("ask"),
        strategies.integers(0, HOSTS - 1),
        strategies.integers(0, HOSTS - 1),
    ),
)


class AnyHistory:
    """Hosts in any history, and for each the newest revision of each id it was told."""

    def __init__(self):
        # The entries at each revision of each epoch.
        self.epochs = [[{}]]
        self.hosts = [ListingHost(number + 1) for number in range(HOSTS)]
        self.known = [dict.fromkeys(HISTORY_NAMES, (0, 0)) for _ in range(HOSTS)]

    def change(self, name, kind):
        entries = dict(self.epochs[-1][-1])
        entries.pop(name, None)
        if kind != "removed":
            entries[name] = upstream(name, state=UpstreamState(kind))
        self.epochs[-1].append(entries)

    def restore(self, lost):
        states = self.epochs[-1]
        self.epochs.append(states[: max(1, len(states) - lost)])

    def read(self, host, lags, last_names):
        states, epoch = self.epochs[-1], len(self.epochs)
        pages, entries, after = [], [], ""
        for lag, last in zip(lags, [*last_names, None], strict=False):
            index = max(0, len(states) - 1 - lag)
            covered = {
                name
                for name in HISTORY_NAMES
                if name > after and (last is None or name <= last)
            }
            # Revisions of a store begin above 0.
            pages.append(
                ListingPage(Revision(index + 1), last and f"i-{last}".encode())
            )
            entries += [
                states[index][name] for name in sorted(covered & states[index].keys())
            ]
            for name in covered:
                position = (epoch, index + 1)
                self.known[host][name] = max(self.known[host][name], position)
            after = last
        listing = Listing(
            join_pages(pages), tuple(entries), frozenset(), StoreEpoch(epoch)
        )
        self.hosts[host].read(listing)

    def ask(self, asking, asked):
        if asking == asked:
            return
        self.hosts[asking].ask(self.hosts[asked])
        for name, position in self.known[asked].items():
            self.known[asking][name] = max(self.known[asking][name], position)

    def check(self):
        for host, known in zip(self.hosts, self.known, strict=True):
            if host.directory.listing is None:
                continue
            expected = {
                self.epochs[epoch - 1][revision - 1][name]
                for name, (epoch, revision) in known.items()
                if name in self.epochs[epoch - 1][revision - 1]
            }
            assert set(host.directory.listing.upstreams) == expected
            listed = {
                entry.upstream
                for entry in host.directory.entries()
                if entry.presence is Presence.LISTED
            }
            assert listed == expected


@settings(max_examples=500, deadline=None, derandomize=True)
@hypothesis_given(strategies.lists(STEPS, max_size=30))
def check_histories(steps):
    history = AnyHistory()
    for kind, *arguments in steps:
        getattr(history, kind)(*arguments)
        history.check()


@then("in any history each host knows each entry from its newest page")
def then_any_history(context):
    check_histories()


@given(
    "pages that end with {first_key} at revision {first:d}, {second_key} at "
    "{second:d} and none at {third:d}"
)
def given_pages(context, first_key, first, second_key, second, third):
    builder = ListingBuilder(is_current=False)
    assert not builder.add_page(page(first_key.strip('"'), revision=first))
    assert not builder.add_page(page(second_key.strip('"'), revision=second))
    assert builder.add_page(page(truncated=False, revision=third))
    context.listing = builder.build()


@then(
    'the listing has a page up to "{last_id}" at revision {first:d} and one beyond it '
    "at revision {second:d}"
)
def then_pages(context, last_id, first, second):
    expected = (ListingPage(first, last_id.encode()), ListingPage(second, None))
    assert context.listing.pages == expected, context.listing.pages


@then("its position is revision {oldest:d}, and its newest is revision {newest:d}")
def then_positions(context, oldest, newest):
    assert context.listing.position == (NO_EPOCH, oldest)
    assert context.listing.newest_position == (NO_EPOCH, newest)


@given("pages of operators' values at revisions {first:d} and {second:d}")
def given_operator_pages(context, first, second):
    builder = OperatorValuesBuilder()
    builder.add_page(page("op/evacuate/a", revision=first))
    builder.add_page(page(truncated=False, revision=second))
    context.answer = builder.build()


@then("the position of the operators' values is revision {revision:d}")
def then_operator_position(context, revision):
    assert context.answer.position == (NO_EPOCH, revision), context.answer


@given("a host that polls the store and has read its listing")
def given_poller(context):
    context.scheduler = VirtualScheduler()
    context.manual = ManualStore()
    context.directory = UpstreamDirectory()
    context.observer = RecordingStateObserver(context.scheduler)
    context.poller = DirectoryPoller(
        steering_settings(),
        context.scheduler,
        context.manual,
        context.directory,
        context.observer,
    )
    context.poller.resume()
    listing = Listing(single_page(Revision(5)), (upstream("1"),), frozenset())
    context.manual.answer("current listing", listing)
    context.scheduler.run_for(1.0)


MIXED = StoreFailure(StoreFailureReason.MIXED_EPOCHS, "page of epoch 1 after one of 2")


@when("its next, stale read finds pages of two epochs")
def when_stale_mixed(context):
    context.manual.answer("stale listing", MIXED)


@when("its next two reads find pages of two epochs")
def when_both_mixed(context):
    context.manual.answer("stale listing", MIXED)
    context.manual.answer("current listing", MIXED)


@then("it reads the newest entries at once")
def then_reads_current(context):
    assert context.manual.call == "current listing", context.manual.call


@then("it has not lost the store")
def then_not_lost(context):
    assert not context.poller.is_failing()
    assert context.directory.store_healthy_s(context.scheduler.now_s()) > 0.0
    assert context.observer.store_failures == 1


@then("it waits before its next read")
def then_waits(context):
    assert context.manual.call is None, context.manual.call
    assert context.poller.is_failing()
    context.scheduler.run_for(1.0)
    assert context.manual.call is not None


LAST_IDS = {"none": None, "7": 7}


@then("a snapshot with these last ids of its pages is rejected")
def then_rejected(context):
    host = ListingHost()
    host.read(PagedStore(NAMES).read((FIRST_REVISION, None)))
    snapshot = host.answer_to(ListingHost(number=2))
    for row in context.table:
        names = [name.strip() for name in row["last ids"].split(",") if name.strip()]
        pages = tuple(
            ListingPage(Revision(1), LAST_IDS.get(name, name.encode()))
            for name in names
        )
        delta = ListingDelta(None, pages, (), frozenset(), frozenset())
        data = SnapshotEncoder().encode(snapshot._replace(listing_delta=delta))
        try:
            decode_snapshot(data)
        except MessageError:
            continue
        raise AssertionError(names)
