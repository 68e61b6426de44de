"""Outcomes of operations with expected failures.

An operation returns its result or an instance of one of the classes below::

    outcome = queue.offer(request)
    if isinstance(outcome, Refused):
        answer_not_run(request, outcome)
"""

from dataclasses import dataclass
from enum import Enum

from wisteriatiller.ids import Revision


class Reason(Enum):
    """Why an operation did not succeed; answers to callers carry the value."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue_full"
    OVER_SHARE = "over_share"
    DEPENDENCY = "dependency"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_DOWN = "upstream_down"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    NO_LEASE = "no_lease"
    NO_BACKUP = "no_backup"
    NO_OWNER = "no_owner"
    FLOW_LOST = "flow_lost"
    CLAIM_UNANSWERED = "claim_unanswered"
    TIMEOUT = "timeout"
    OWNER_CHANGED = "owner_changed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Refused:
    """The request has not run and will not run; the caller may retry it later."""

    reason: Reason
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have run; it will not be run again."""

    reason: Reason
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The peer did not answer within the timeout."""

    reason: Reason = Reason.TIMEOUT


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not answer.

    With ``may_have_written``, a write may have taken effect all the same.
    """

    detail: str
    may_have_written: bool = False


@dataclass(frozen=True, slots=True)
class Conflict:
    """A compare-and-swap failed because another writer changed the value first."""

    winning_revision: Revision
