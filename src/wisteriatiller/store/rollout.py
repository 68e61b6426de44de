"""Tracks over the admin API which revision each host runs."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from wisteriatiller.foundation import Store
from wisteriatiller.ids import (
    NO_REVISION,
    Address,
    HostId,
    Revision,
    SubmissionId,
    ZoneId,
)
from wisteriatiller.outcomes import StoreUnavailable, Unreachable

from .admin import AdminClient
from .platformhosts import PlatformHost, read_platform_hosts

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 2.0
# The list is read again while a command waits, since hosts start and stop meanwhile.
HOST_LIST_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """Counts the live hosts on which a submission is in force."""

    revision: Revision = NO_REVISION
    total: int = 0
    in_force: int = 0
    lagging: tuple[HostId, ...] = ()
    unreachable: tuple[HostId, ...] = ()
    # A higher revision on some host whose history lacks the submission, or 0.
    superseded_by: Revision = NO_REVISION

    @property
    def complete(self) -> bool:
        return self.total > 0 and self.in_force == self.total


async def find_hosts(
    store: Store, addresses: Sequence[Address]
) -> tuple[PlatformHost, ...] | StoreUnavailable:
    """Return the hosts at the given admin addresses, or else the platform's list."""
    if addresses:
        return tuple(
            PlatformHost(HostId(str(address)), ZoneId("-"), address)
            for address in addresses
        )
    return await read_platform_hosts(store)


async def highest_running_revision(
    client: AdminClient, hosts: Sequence[PlatformHost], timeout_s: float
) -> Revision:
    """Return the highest revision that any of the hosts runs."""
    answers = await client.fetch_all(hosts, "/revision", timeout_s)
    return Revision(max(map(_revision_of, answers.values()), default=NO_REVISION))


async def wait_until_in_force(
    store: Store,
    client: AdminClient,
    submission_id: SubmissionId,
    wait_s: float,
    print_line: Callable[[str], None],
) -> RolloutProgress:
    """Wait until the submission is in force on all live hosts.

    A submission is in force on a host that runs it or a later one based on it. Leaving
    hosts are ignored. Each change of the counts is passed to ``print_line``.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + wait_s
    progress = RolloutProgress()
    hosts: tuple[PlatformHost, ...] = ()
    hosts_read_at_s = -HOST_LIST_INTERVAL_S
    while True:
        if loop.time() - hosts_read_at_s >= HOST_LIST_INTERVAL_S or not hosts:
            found = await read_platform_hosts(store)
            if not isinstance(found, StoreUnavailable):
                hosts = tuple(host for host in found if not host.leaving)
                hosts_read_at_s = loop.time()
        answers = await client.fetch_all(hosts, "/revision", POLL_TIMEOUT_S)
        previous, progress = progress, evaluate_progress(answers, submission_id)
        if (progress.in_force, progress.total) != (previous.in_force, previous.total):
            print_line(
                f"in force on {progress.in_force} of {progress.total} live hosts"
            )
        timed_out = loop.time() + POLL_INTERVAL_S > deadline_s
        if progress.complete or progress.superseded_by or timed_out:
            return progress
        await asyncio.sleep(POLL_INTERVAL_S)


def evaluate_progress(
    answers: dict[HostId, dict | Unreachable], submission_id: SubmissionId
) -> RolloutProgress:
    """Count the hosts that run the submission, lag behind or do not answer."""
    running, lagging, unreachable, lagging_revisions = [], [], [], []
    for host_id, answer in answers.items():
        if isinstance(answer, Unreachable):
            unreachable.append(host_id)
        elif _runs_submission(answer, submission_id):
            running.append(host_id)
        else:
            lagging.append(host_id)
            lagging_revisions.append(_revision_of(answer))
    revisions = [_revision_of(answers[host_id]) for host_id in running]
    revision = max(revisions, default=NO_REVISION)
    # If a host without the submission has a higher revision than every host with it,
    # the submission is lost, since the history covers more revisions than can be made
    # while a command waits.
    highest = max(lagging_revisions, default=NO_REVISION)
    superseded = bool(revisions) and highest > revision
    return RolloutProgress(
        revision=Revision(revision),
        total=len(answers),
        in_force=len(running),
        lagging=tuple(sorted(lagging)),
        unreachable=tuple(sorted(unreachable)),
        superseded_by=Revision(highest) if superseded else NO_REVISION,
    )


def _revision_of(answer: object) -> int:
    revision = answer.get("revision") if isinstance(answer, dict) else None
    return revision if type(revision) is int else NO_REVISION


def _runs_submission(answer: dict, submission_id: SubmissionId) -> bool:
    history = answer.get("history")
    return answer.get("submission_id") == submission_id or (
        isinstance(history, list) and submission_id in history
    )
