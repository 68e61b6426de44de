"""Hosts that exchange listings, and a store whose pages they read at any revision."""

from testbed.steeringparts import VirtualScheduler, steering_settings, upstream
from tests.steeringfakes import RecordingStateObserver
from wisteriatiller.ids import NO_EPOCH, Revision
from wisteriatiller.steering import Listing, UpstreamState
from wisteriatiller.steering.directory import UpstreamDirectory
from wisteriatiller.steering.evidence import NO_FINDINGS
from wisteriatiller.steering.listingpages import ListingPage, join_pages
from wisteriatiller.steering.peers import Peer, PeerRegistry
from wisteriatiller.steering.routes import ConfigView
from wisteriatiller.steering.sharedstate import SharedState
from wisteriatiller.steering.snapshotapplier import SnapshotApplier
from wisteriatiller.steering.snapshots import SnapshotEncoder, decode_snapshot

FIRST_REVISION = 10


class PagedStore:
    """The entries of upstreams at each revision, read in pages of any ages."""

    def __init__(self, names):
        self.epoch = NO_EPOCH
        self._names = names
        self._changes = []

    def restore(self):
        """Begin a new epoch with the first entries."""
        self.epoch += 1

    def change(self, revision, name, kind):
        """Let an upstream drain, leave or join at a revision of the newest epoch."""
        self._changes.append((revision, name, kind))

    def entries(self, revision, epoch):
        entries = {name: upstream(name) for name in self._names}
        changes = self._changes if epoch == self.epoch else []
        for changed_at, name, kind in changes:
            if changed_at > revision:
                continue
            if kind == "leaves":
                del entries[name]
            elif kind == "drains":
                entries[name] = upstream(name, state=UpstreamState.DRAINING)
            else:
                entries[name] = upstream(name)
        return entries

    def read(self, *pages, epoch=None):
        """A listing of pages, each with its revision and its last name."""
        epoch = self.epoch if epoch is None else epoch
        upstreams, after = [], ""
        for revision, last in pages:
            found = self.entries(revision, epoch)
            upstreams += [
                found[name]
                for name in sorted(found)
                if name > after and (last is None or name <= last)
            ]
            after = last
        made = [
            ListingPage(Revision(revision), last and f"i-{last}".encode())
            for revision, last in pages
        ]
        return Listing(join_pages(made), tuple(upstreams), frozenset(), epoch)


class ListingHost:
    """The directory of one host, which asks others as hosts do."""

    def __init__(self, number=1):
        settings = steering_settings(number=number)
        self._scheduler = VirtualScheduler()
        self.directory = UpstreamDirectory()
        self.peer = Peer(settings.control_listen, settings.zone)
        self.state = SharedState(
            settings, ConfigView(), self.directory, PeerRegistry(self.peer)
        )
        self.observer = RecordingStateObserver(self._scheduler)
        self._applier = SnapshotApplier(
            settings, self._scheduler, self.state, None, None, self.observer
        )

    @property
    def now_s(self):
        return self._scheduler.now_s()

    def read(self, listing):
        applied = self.directory.apply(listing, self.now_s, store_healthy_s=60.0)
        self.observer.listing_applied(applied, "store")

    def answer_to(self, other):
        """The answer to a question of another host, as it reads it."""
        snapshot = self.state.build_snapshot(
            other.state.build_request(wants_peers=False, wants_large_config=False),
            is_reading=True,
            has_lost_store=False,
            reader=None,
            findings=NO_FINDINGS,
            now_s=self.now_s,
        )
        return decode_snapshot(SnapshotEncoder().encode(snapshot))

    def take(self, peer, snapshot):
        self._applier.apply(peer, snapshot, 60.0, self.now_s)

    def ask(self, other):
        answer = other.answer_to(self)
        self.take(other.peer, answer)
        return answer
