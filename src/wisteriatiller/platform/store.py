"""The client of the platform's store."""

import base64
import json
from collections.abc import Callable

from wisteriatiller.ids import (
    NO_EPOCH,
    NO_REVISION,
    Revision,
    StoreEpoch,
    StorePosition,
    UpstreamId,
)
from wisteriatiller.network import (
    EventLoop,
    HttpClient,
    HttpFailure,
    HttpRequest,
    HttpResponse,
    HttpResult,
)
from wisteriatiller.steering import Listing, SteeringSettings, StoreReader, Upstream
from wisteriatiller.steering.ports import (
    ConfigAnswer,
    ConfigInvalid,
    ConfigMissing,
    ConfigRead,
    ConfigUnchanged,
    HistoryExpired,
    StoreFailure,
    StoreFailureReason,
)

from .storedvalues import (
    StoredValueError,
    decode_config,
    decode_upstream,
    is_valid_upstream_id,
)

CONFIG_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
# In every response; it rises when the store comes back from an older copy.
EPOCH_HEADER = "store-era"
# Messages between hosts hold integers of 64 bits.
MAX_EPOCH_DIGITS = 15
# Limit of a response body as a multiple of the largest value; allows for base64, JSON
# and pages of many values.
BODY_SIZE_FACTOR = 4


class PlatformStore(StoreReader):
    """Reads the store over HTTP.

    The configuration and the listings have a client each, because a client sends one
    request at a time and a pending watch would delay listings.
    """

    def __init__(self, loop: EventLoop, settings: SteeringSettings):
        self._loop = loop
        self._settings = settings
        self._address = settings.store
        self._config_client = self._make_client()
        self._list_client = self._make_client()

    def set_address(self, address):
        self._address = address
        self._config_client = self._make_client()
        self._list_client = self._make_client()

    def read_config(self, on_answer):
        self._get(
            self._config_client,
            f"/kv-key?key={CONFIG_KEY}",
            self._settings.store_timeout_s,
            lambda result: on_answer(_parse_config_response(result)),
        )

    def watch_config(self, after, wait_s, on_answer):
        wait_ms = round(1000 * wait_s)
        self._get(
            self._config_client,
            f"/kv-watch?prefix={CONFIG_KEY}&after={after}&wait_ms={wait_ms}",
            wait_s + self._settings.watch_slack_s,
            lambda result: on_answer(_parse_watch_response(result)),
        )

    def list_upstreams(self, is_current, on_answer):
        self._request_page(ListingBuilder(is_current), on_answer)

    def _request_page(
        self,
        builder: "ListingBuilder",
        on_answer: Callable[[Listing | StoreFailure], None],
    ) -> None:
        def on_page(result: HttpResult) -> None:
            body = _parse_body(result)
            if isinstance(body, StoreFailure):
                on_answer(body)
                return
            try:
                is_last = builder.add_page(body, epoch_of(result))
            except (ValueError, TypeError, LookupError) as error:
                on_answer(StoreFailure(StoreFailureReason.UNREADABLE, repr(error)))
                return
            if is_last:
                on_answer(builder.build())
            else:
                self._request_page(builder, on_answer)

        target = f"/kv-range?prefix={UPSTREAM_PREFIX}"
        if not builder.is_current:
            target += "&serializable=1"
        if builder.last_key:
            target += f"&after={builder.last_key}"
        timeout_s = self._settings.store_timeout_s
        self._get(self._list_client, target, timeout_s, on_page)

    def _get(
        self,
        client: HttpClient,
        target: str,
        timeout_s: float,
        on_result: Callable[[HttpResult], None],
    ) -> None:
        client.request(HttpRequest(target, timeout_s), on_result)

    def _make_client(self) -> HttpClient:
        max_body_bytes = BODY_SIZE_FACTOR * self._settings.max_value_bytes
        return HttpClient(self._loop, self._address, max_body_bytes)


class ListingBuilder:
    """Assembles a listing from its pages.

    ``last_key`` is the last key so far, after which the next page begins, and ``epoch``
    is that of its pages.
    """

    def __init__(self, is_current: bool):
        self.is_current = is_current
        self.last_key = ""
        self.epoch = NO_EPOCH
        self._page_revisions: list[Revision] = []
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._unreadable: set[UpstreamId] = set()

    def add_page(self, body: dict, epoch: StoreEpoch = NO_EPOCH) -> bool:
        """Add one page; return whether it is the last one."""
        if self._page_revisions and epoch != self.epoch:
            raise ValueError(f"page of epoch {epoch} after one of {self.epoch}")
        self.epoch = epoch
        self._page_revisions.append(Revision(int(body["store_revision"])))
        items = body["items"]
        if items and items[0]["key"] <= self.last_key:
            raise ValueError(
                f"page does not continue the last one: {items[0]['key']!r}"
            )
        for item in items:
            self._add_item(item)
        if not body["truncated"] or not items:
            return True
        self.last_key = items[-1]["key"]
        return False

    def build(self) -> Listing:
        return Listing(
            page_revisions=tuple(self._page_revisions),
            upstreams=tuple(self._upstreams.values()),
            unreadable=frozenset(self._unreadable),
            epoch=self.epoch,
        )

    def _add_item(self, item: dict) -> None:
        upstream_id = UpstreamId(item["key"].removeprefix(UPSTREAM_PREFIX))
        if not is_valid_upstream_id(upstream_id):
            return
        try:
            data = base64.b64decode(item["value"], validate=True)
            self._upstreams[upstream_id] = decode_upstream(upstream_id, data)
        except (StoredValueError, ValueError, TypeError, KeyError):
            self._unreadable.add(upstream_id)


def _parse_body(result: HttpResult) -> dict | StoreFailure:
    """Return the JSON object in a successful response."""
    if isinstance(result, HttpFailure):
        detail = f"{result.reason.value}: {result.detail}"
        return StoreFailure(StoreFailureReason.UNREACHABLE, detail)
    if result.status != 200:
        return StoreFailure(StoreFailureReason.REFUSED, f"status {result.status}")
    try:
        body = json.loads(result.body)
    except (ValueError, RecursionError) as error:
        return StoreFailure(StoreFailureReason.UNREADABLE, str(error))
    if not isinstance(body, dict):
        return StoreFailure(StoreFailureReason.UNREADABLE, "not a JSON object")
    return body


def _parse_config_response(result: HttpResult) -> ConfigAnswer:
    if isinstance(result, HttpResponse) and result.status == 404:
        revision = _revision_of_missing_config(result)
        return ConfigMissing(StorePosition(epoch_of(result), revision))
    body = _parse_body(result)
    if isinstance(body, StoreFailure):
        return body
    try:
        return _decode_config_value(_position_of(result, body), body)
    except (ValueError, TypeError, LookupError) as error:
        return StoreFailure(StoreFailureReason.UNREADABLE, repr(error))


def _revision_of_missing_config(result: HttpResponse) -> Revision:
    """Return the store's revision in a 404 response.

    Without one, 0 makes the next watch ask for all changes.
    """
    try:
        return Revision(int(json.loads(result.body)["store_revision"]))
    except (ValueError, TypeError, LookupError):
        return Revision(0)


def _parse_watch_response(result: HttpResult) -> ConfigAnswer:
    if isinstance(result, HttpResponse) and result.status == 410:
        return HistoryExpired(StorePosition(epoch_of(result), NO_REVISION))
    body = _parse_body(result)
    if isinstance(body, StoreFailure):
        return body
    try:
        position = _position_of(result, body)
        writes = [
            event
            for event in body["events"]
            if event["key"] == CONFIG_KEY and "tombstone" not in event
        ]
        if not writes:
            return ConfigUnchanged(position)
        newest = max(writes, key=lambda event: event["revision"])
        return _decode_config_value(position, newest)
    except (ValueError, TypeError, LookupError) as error:
        return StoreFailure(StoreFailureReason.UNREADABLE, repr(error))


def epoch_of(response: HttpResponse) -> StoreEpoch:
    """Return the epoch that a response names; ``NO_EPOCH`` if it names none."""
    text = response.headers.get(EPOCH_HEADER, "")
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_EPOCH_DIGITS
    return StoreEpoch(int(text)) if is_number else NO_EPOCH


def _position_of(response: HttpResponse, body: dict) -> StorePosition:
    revision = Revision(int(body["store_revision"]))
    return StorePosition(epoch_of(response), revision)


def _decode_config_value(
    position: StorePosition, item: dict
) -> ConfigRead | ConfigInvalid:
    try:
        data = base64.b64decode(item["value"], validate=True)
        return ConfigRead(position, decode_config(data))
    except (StoredValueError, ValueError) as error:
        return ConfigInvalid(position, str(error))
