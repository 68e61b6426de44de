"""Submission of a configuration to the store.

``submit`` writes the store key ``config/current`` by compare-and-swap::

    outcome = await submit(store, configuration, new_submission_id())
    if isinstance(outcome, Submitted):
        print(outcome.revision)
"""

import asyncio
import uuid
from dataclasses import dataclass

from wisteriatiller.configuration import (
    NO_RECORD,
    ConfigRecord,
    Configuration,
    RecordInvalid,
    TextProblem,
    TextProblems,
    decode_record,
    encode_record,
    next_record,
)
from wisteriatiller.foundation import (
    Store,
    StoreEntry,
    StoreKeyMissing,
)
from wisteriatiller.ids import NO_REVISION, Revision, SubmissionId
from wisteriatiller.outcomes import Conflict, StoreUnavailable

CONFIG_KEY = "config/current"
READ_BACK_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class Submitted:
    """The text is in the store; ``unchanged`` if it was there before."""

    revision: Revision
    submission_id: SubmissionId
    unchanged: bool = False


def new_submission_id() -> SubmissionId:
    return SubmissionId(uuid.uuid4().hex)


def check_successor(
    current: Configuration, submitted: Configuration, name: str
) -> TextProblems | None:
    """Reject changes that could give an upstream two owners.

    The shard of an upstream is derived from its id, its zone and ``shard_count``. Hosts
    apply a revision at different times. If any of these changed, or if an upstream
    address moved to another id, two hosts could hold valid leases of different shards
    for the same upstream.

    ``current`` may also be read from a text, which has no revision and no earlier
    upstreams.
    """
    problems = []

    def add_problem(key_path: str, found: object, allowed: str) -> None:
        problems.append(TextProblem(name, 1, key_path, str(found), allowed))

    is_in_force = bool(current.revision or current.services)
    if is_in_force and submitted.shard_count != current.shard_count:
        source = (
            f"revision {current.revision}" if current.revision else "the other text"
        )
        allowed = f"{current.shard_count}, as in {source}"
        add_problem("shard_count", submitted.shard_count, allowed)
    for upstream in submitted.upstreams.values():
        path = f"services.{upstream.service_id}.upstreams.{upstream.upstream_id}"
        known = current.upstreams.get(upstream.upstream_id)
        if known is not None:
            for key in ("service_id", "zone", "address"):
                if getattr(known, key) != getattr(upstream, key):
                    allowed = f"{getattr(known, key)} for this id, or a new id"
                    add_problem(f"{path}.{key}", getattr(upstream, key), allowed)
        address_holder = current.upstream_by_address.get(upstream.address)
        if (
            address_holder is not None
            and address_holder.upstream_id != upstream.upstream_id
        ):
            found = f"{upstream.address}, the address of {address_holder.upstream_id}"
            add_problem(
                f"{path}.address", found, f"the id {address_holder.upstream_id} for it"
            )
    return TextProblems(tuple(problems)) if problems else None


async def read_record(
    store: Store, wait_index: int = 0, wait_s: float = 0.0
) -> tuple[ConfigRecord, int, bytes] | RecordInvalid | StoreUnavailable:
    """Return the stored record (or ``NO_RECORD``), its index and its bytes."""
    entry = await store.get(CONFIG_KEY, wait_index, wait_s)
    if isinstance(entry, StoreUnavailable):
        return entry
    if isinstance(entry, StoreKeyMissing):
        return NO_RECORD, entry.index, b""
    record = decode_record(entry.value)
    if isinstance(record, RecordInvalid):
        return record
    return record, entry.index, entry.value


SubmitOutcome = Submitted | Conflict | TextProblems | StoreUnavailable


async def submit(
    store: Store,
    submitted: Configuration,
    submission_id: SubmissionId,
    *,
    name: str = "text",
    expected_revision: Revision | None = None,
    highest_running_revision: Revision = NO_REVISION,
    timeout_s: float = 10.0,
) -> SubmitOutcome:
    """Write a checked configuration as the next revision.

    A text that is already in force is not written again. ``expected_revision`` is the
    revision that the operator edited; if another one is in the store, the outcome is a
    ``Conflict``. ``highest_running_revision`` is the highest that live hosts run: a
    store with a lower one has lost data, which the hosts have to write back first.
    ``StoreUnavailable`` means that the store did not answer within ``timeout_s``; it is
    safe to repeat the call with the same submission id.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    submission = _Submission(
        store, submitted, submission_id, name, highest_running_revision
    )
    while True:
        outcome = await submission.attempt(expected_revision)
        if not isinstance(outcome, StoreUnavailable):
            return outcome
        if submission.may_have_written:
            outcome = StoreUnavailable(outcome.detail, may_have_written=True)
        if loop.time() + READ_BACK_INTERVAL_S > deadline_s:
            return outcome
        await asyncio.sleep(READ_BACK_INTERVAL_S)


class _Submission:
    """The attempts to write one submission.

    Every attempt requires the store to be as the first one read it. If an answer is
    lost, at most one attempt takes effect, and the stored history shows which.
    """

    def __init__(self, store, submitted, submission_id, name, highest_running_revision):
        self._store = store
        self._submitted = submitted
        self._submission_id = submission_id
        self._name = name
        self._running_revision = highest_running_revision
        self._base: tuple[Revision, SubmissionId] | None = None
        self.may_have_written = False

    async def attempt(self, expected_revision: Revision | None) -> SubmitOutcome:
        """Read the store and write the submission if nothing else changed it."""
        read = await read_record(self._store)
        if isinstance(read, StoreUnavailable):
            return read
        if isinstance(read, RecordInvalid):
            return StoreUnavailable(f"{CONFIG_KEY}: {read.detail}")
        current, index, _ = read
        if current.contains(self._submission_id):
            return Submitted(self._accepted_revision(current), self._submission_id)
        if current.revision < self._running_revision:
            return StoreUnavailable(
                f"the store holds revision {current.revision}, older than revision "
                f"{self._running_revision} of the hosts, which write it back"
            )
        if current.revision and current.configuration.text == self._submitted.text:
            return Submitted(current.revision, current.submission_id, unchanged=True)
        base = (current.revision, current.submission_id)
        if self._base is None:
            self._base = base
        unexpected = expected_revision not in (None, current.revision)
        if self._base != base or unexpected:
            return Conflict(current.revision)
        return await self._write(current, index)

    async def _write(self, current: ConfigRecord, index: int) -> SubmitOutcome:
        problems = check_successor(current.configuration, self._submitted, self._name)
        if problems is not None:
            return problems
        record = next_record(current, self._submitted, self._submission_id)
        data = encode_record(record)
        if isinstance(data, RecordInvalid):
            problem = TextProblem(self._name, 1, "", data.detail, "a smaller text")
            return TextProblems((problem,))
        self.may_have_written = True
        written = await self._store.compare_and_swap(
            CONFIG_KEY, data, index if current.revision else 0
        )
        if isinstance(written, StoreEntry):
            return Submitted(record.revision, self._submission_id)
        if isinstance(written, Conflict):
            # The next attempt reads which write was first: it may be this submission.
            return StoreUnavailable("another write came first")
        return written

    def _accepted_revision(self, record: ConfigRecord) -> Revision:
        """Return the revision of this submission from its place in the history."""
        chain = (record.submission_id, *record.history)
        return Revision(record.revision - chain.index(self._submission_id))
