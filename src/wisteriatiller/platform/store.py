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
    FailureReason,
    HttpClient,
    HttpFailure,
    HttpRequest,
    HttpResponse,
    HttpResult,
    raw_bytes,
    request_target,
)
from wisteriatiller.steering import Listing, SteeringSettings, StoreReader, Upstream
from wisteriatiller.steering.listingpages import ListingPage, join_pages
from wisteriatiller.steering.ports import (
    ConfigAnswer,
    ConfigMissing,
    HistoryExpired,
    StoreFailure,
    StoreFailureReason,
)

from .operatorvalues import (
    CONFIG_KEY,
    OPERATOR_PREFIX,
    OperatorValuesBuilder,
    answer_from_events,
    config_answer_from_events,
    decode_config_value,
)
from .pages import MixedEpochsError, PageBuilder
from .storedvalues import (
    StoredValueError,
    decode_upstream,
    is_valid_upstream_id,
)

UPSTREAM_PREFIX = "servers/"
# In every response; it rises when the store comes back from an older copy.
EPOCH_HEADER = "store-era"
# Messages between hosts hold integers of 64 bits.
MAX_EPOCH_DIGITS = 15
# A page holds about 1 MB, or one value.
PAGE_BYTES = 1_000_000
# Limit of a response body as a multiple of a page or of the largest value; allows for
# base64, JSON and long keys.
BODY_SIZE_FACTOR = 4
_FAILURE_REASONS = {
    FailureReason.TIMEOUT: StoreFailureReason.UNREACHABLE,
    FailureReason.CLOSED: StoreFailureReason.UNREACHABLE,
    FailureReason.MALFORMED: StoreFailureReason.UNREADABLE,
    FailureReason.TOO_LARGE: StoreFailureReason.UNREADABLE,
}


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
        if self._settings.has_evacuations:
            builder = OperatorValuesBuilder()
            self._request_page(self._config_client, builder, on_answer)
            return
        self._get(
            self._config_client,
            request_target("/kv-key", key=CONFIG_KEY),
            self._settings.store_timeout_s,
            lambda result: on_answer(_parse_config_response(result)),
        )

    def watch_config(self, after, wait_s, on_answer):
        wait_ms = round(1000 * wait_s)
        prefix, answer_from = CONFIG_KEY, config_answer_from_events
        if self._settings.has_evacuations:
            prefix, answer_from = OPERATOR_PREFIX, answer_from_events
        self._get(
            self._config_client,
            request_target("/kv-watch", prefix=prefix, after=after, wait_ms=wait_ms),
            wait_s + self._settings.watch_slack_s,
            lambda result: on_answer(_parse_watch_response(result, answer_from)),
        )

    def list_upstreams(self, is_current, on_answer):
        self._request_page(self._list_client, ListingBuilder(is_current), on_answer)

    def _request_page(
        self,
        client: HttpClient,
        builder: PageBuilder,
        on_answer: Callable[[Listing | ConfigAnswer], None],
    ) -> None:
        def on_page(result: HttpResult) -> None:
            body = _parse_body(result)
            if isinstance(body, StoreFailure):
                on_answer(body)
                return
            try:
                is_last = builder.add_page(body, epoch_of(result))
            except MixedEpochsError as error:
                on_answer(StoreFailure(StoreFailureReason.MIXED_EPOCHS, str(error)))
                return
            except (ValueError, TypeError, LookupError) as error:
                on_answer(StoreFailure(StoreFailureReason.UNREADABLE, repr(error)))
                return
            if is_last:
                on_answer(builder.build())
            else:
                self._request_page(client, builder, on_answer)

        fields = {"prefix": builder.prefix}
        if not builder.is_current:
            fields["serializable"] = "1"
        if builder.last_key:
            fields["after"] = builder.last_key
        target = request_target("/kv-range", **fields)
        self._get(client, target, self._settings.store_timeout_s, on_page)

    def _get(
        self,
        client: HttpClient,
        target: str,
        timeout_s: float,
        on_result: Callable[[HttpResult], None],
    ) -> None:
        client.request(HttpRequest(target, timeout_s), on_result)

    def _make_client(self) -> HttpClient:
        largest_bytes = max(PAGE_BYTES, self._settings.max_value_bytes)
        return HttpClient(self._loop, self._address, BODY_SIZE_FACTOR * largest_bytes)


class ListingBuilder(PageBuilder):
    """Assembles a listing from its pages."""

    prefix = UPSTREAM_PREFIX

    def __init__(self, is_current: bool):
        super().__init__(is_current)
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._unreadable: set[UpstreamId] = set()

    def build(self) -> Listing:
        last_ids = [
            raw_bytes(key.removeprefix(UPSTREAM_PREFIX)) for key in self._last_keys
        ]
        pages = map(ListingPage, self._page_revisions, [*last_ids, None])
        return Listing(
            pages=join_pages(pages),
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
        return StoreFailure(_FAILURE_REASONS[result.reason], detail)
    if result.status != 200:
        return StoreFailure(StoreFailureReason.REFUSED, f"status {result.status}")
    try:
        # A key may hold bytes that are no UTF-8, and control characters.
        text = result.body.decode(errors="surrogateescape")
        body = json.loads(text, strict=False)
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
        return decode_config_value(_position_of(result, body), body)
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


def _parse_watch_response(
    result: HttpResult,
    answer_from: Callable[[StorePosition, list[dict]], ConfigAnswer],
) -> ConfigAnswer:
    """Return the answer that ``answer_from`` makes of the events of a watch."""
    if isinstance(result, HttpResponse) and result.status == 410:
        return HistoryExpired(StorePosition(epoch_of(result), NO_REVISION))
    body = _parse_body(result)
    if isinstance(body, StoreFailure):
        return body
    try:
        return answer_from(_position_of(result, body), body["events"])
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
