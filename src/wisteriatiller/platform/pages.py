"""Assembles what the store returns in pages, which are not a consistent snapshot."""

from abc import ABC, abstractmethod

from wisteriatiller.ids import NO_EPOCH, Revision, StoreEpoch
from wisteriatiller.network import raw_bytes


class MixedEpochsError(ValueError):
    """A page is of another epoch than those before it."""


class PageBuilder(ABC):
    """Collects the items of all pages under a prefix.

    Unless they are current, pages may be of any ages, in any order. ``last_key`` is the
    last key so far, after which the next page begins, and ``epoch`` that of its pages.
    """

    prefix: str

    def __init__(self, is_current: bool):
        self.is_current = is_current
        self.last_key = ""
        self.epoch = NO_EPOCH
        self._page_revisions: list[Revision] = []
        # The last key of each page but the last one.
        self._last_keys: list[str] = []

    def add_page(self, body: dict, epoch: StoreEpoch = NO_EPOCH) -> bool:
        """Add one page; return whether it is the last one."""
        revision = Revision(int(body["store_revision"]))
        if self._page_revisions and epoch != self.epoch:
            raise MixedEpochsError(
                f"page of epoch {epoch}, revision {revision}, after one of epoch "
                f"{self.epoch}, revision {self._page_revisions[-1]}"
            )
        self.epoch = epoch
        self._page_revisions.append(revision)
        items = body["items"]
        if items and raw_bytes(items[0]["key"]) <= raw_bytes(self.last_key):
            raise ValueError(
                f"page does not continue the last one: {items[0]['key']!a}"
            )
        for item in items:
            self._add_item(item)
        if not body["truncated"]:
            return True
        if not items:
            raise ValueError(f"truncated page without items after {self.last_key!a}")
        self.last_key = items[-1]["key"]
        self._last_keys.append(self.last_key)
        return False

    @abstractmethod
    def build(self) -> object:
        """Return what the pages hold, after the last one."""

    @abstractmethod
    def _add_item(self, item: dict) -> None: ...
