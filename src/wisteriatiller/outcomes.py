"""Outcomes of operations that may fail in an expected way.

An operation returns either its result or one of the sentinel values below, each with
a reason::

    outcome = queue.offer(request)
    if isinstance(outcome, Refused):
        answer_not_run(request, outcome)
"""

from dataclasses import dataclass
from enum import Enum

from wisteriatiller.ids import Revision


class Reason(Enum):
    """Why an operation did not succeed."""

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
    """The request was not run and will not be; the caller may come back later."""

    reason: Reason
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have run; it will not be run again."""

    reason: Reason
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No answer came from the peer within the time allowed."""

    reason: Reason = Reason.TIMEOUT


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not answer; a write may still have taken effect."""

    detail: str
    may_have_written: bool = False


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another writer changed the value first."""

    winning_revision: Revision
