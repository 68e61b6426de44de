"""The pages of a listing, and what they prove of each entry.

A page covers a range of ids. It proves, for each id of its range and for no other, that
the store held this entry, or none, at the revision of the page. Each page is a call of
its own, and a stale one may come from any replica. So a page may be older than the one
before it, and the revision of one page says nothing about the ids of another. What is
known of an id is as new as the newest page that has covered it::

    known = (ListingPage(Revision(7), None),)
    read = (ListingPage(Revision(9), b"i-5"), ListingPage(Revision(4), None))
    assert merge_pages(read, known) == (
        ListingPage(Revision(9), b"i-5"),
        ListingPage(Revision(7), None),
    )
"""

from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from wisteriatiller.ids import Revision, UpstreamId


class ListingPage(NamedTuple):
    """A range of ids and the revision at which it was read.

    The range begins after that of the page before. ``last_id`` holds the bytes of its
    last id; None if no id comes after the range.
    """

    revision: Revision
    last_id: bytes | None


class PageOverlap(NamedTuple):
    """A range of ids that one page of each of two listings covers."""

    last_id: bytes | None
    revision: Revision
    other_revision: Revision


class PageIndex:
    """Finds the revision of the page that covers an id."""

    def __init__(self, pages: Sequence[ListingPage]):
        self._revisions = [page.revision for page in pages]
        self._last_ids = [page.last_id for page in pages[:-1]]

    def revision_of(self, upstream_id: UpstreamId) -> Revision:
        return self._revisions[bisect_left(self._last_ids, upstream_id.encode())]


def single_page(revision: Revision) -> tuple[ListingPage, ...]:
    """The pages of a listing that was read in one call."""
    return (ListingPage(revision, None),)


def join_pages(pages: Iterable[ListingPage]) -> tuple[ListingPage, ...]:
    """Join adjoining pages of one revision, which are as good as a single one."""
    joined: list[ListingPage] = []
    for page in pages:
        if joined and joined[-1].revision == page.revision:
            joined.pop()
        joined.append(page)
    return tuple(joined)


def merge_pages(
    pages: Sequence[ListingPage], others: Sequence[ListingPage]
) -> tuple[ListingPage, ...]:
    """The pages that prove the newest of each id."""
    return join_pages(
        ListingPage(max(overlap.revision, overlap.other_revision), overlap.last_id)
        for overlap in overlaps(pages, others)
    )


def overlaps(
    pages: Sequence[ListingPage], others: Sequence[ListingPage]
) -> Iterator[PageOverlap]:
    """The ranges into which the pages of two listings divide the ids, in order."""
    remaining, other_remaining = iter(pages), iter(others)
    page, other = next(remaining), next(other_remaining)
    while True:
        last_id = min(page.last_id, other.last_id, key=_range_order)
        yield PageOverlap(last_id, page.revision, other.revision)
        if last_id is None:
            return
        if page.last_id == last_id:
            page = next(remaining)
        if other.last_id == last_id:
            other = next(other_remaining)


def are_valid(pages: Sequence[ListingPage]) -> bool:
    """Whether the ranges of pages follow each other and cover all ids."""
    orders = [_range_order(page.last_id) for page in pages]
    is_ascending = all(map(lambda one, next_one: one < next_one, orders, orders[1:]))
    return bool(pages) and pages[-1].last_id is None and is_ascending


def _range_order(last_id: bytes | None) -> tuple[bool, bytes]:
    return last_id is None, last_id or b""
