"""Client of the platform's store, which offers Consul's KV HTTP API."""

import asyncio
import base64
import json
from urllib.parse import quote, urlencode

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse

from wisteriatiller.foundation import Store, StoreEntry, StoreKeyMissing
from wisteriatiller.ids import NO_REVISION
from wisteriatiller.outcomes import Conflict, StoreUnavailable

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 3.0
# A value of one megabyte takes 1.34 MB in base64, plus a small JSON object around it.
MAX_BODY_BYTES = 2_000_000


class ConsulStore(Store):
    """Tries its URLs in turn, starting with the one that answered last.

    If the answer to a write is lost and the write is retried at the next URL, it can
    fail with a ``Conflict`` caused by the caller's own value, so callers must read back
    before they give up. ``Conflict`` names no revision, as values are opaque here.
    """

    def __init__(self, urls: tuple[str, ...]):
        self._urls = [url.rstrip("/") for url in urls]
        self._preferred_index = 0
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=100, max_body_size=MAX_BODY_BYTES
        )

    def close(self) -> None:
        self._client.close()

    async def get(self, key, wait_index=0, wait_s=0.0):
        query = {}
        if wait_index:
            query = {"index": wait_index, "wait": f"{max(1, round(wait_s * 1000))}ms"}
        response = await self._fetch("GET", key, query, wait_s if wait_index else 0.0)
        if isinstance(response, StoreUnavailable):
            return response
        try:
            if response.code == 404:
                return StoreKeyMissing(int(response.headers.get("X-Consul-Index", 0)))
            item = json.loads(response.body)[0]
            value = base64.b64decode(item["Value"] or "", validate=True)
            return StoreEntry(value, int(item["ModifyIndex"]))
        except (ValueError, TypeError, LookupError) as error:
            return StoreUnavailable(f"unreadable answer for {key}: {error!r}")

    async def compare_and_swap(self, key, value, index):
        response = await self._fetch("PUT", key, {"cas": index}, 0.0, value)
        if isinstance(response, StoreUnavailable):
            return response
        answer = (response.body or b"").strip()
        if answer == b"false":
            return Conflict(NO_REVISION)
        if answer != b"true":
            return StoreUnavailable(f"unreadable answer for {key}: {answer[:40]!r}")
        written = await self.get(key)
        if isinstance(written, StoreEntry) and written.value == value:
            return written
        # The write took effect, but its index is unknown or already superseded. With
        # index 0, the caller's next compare-and-swap fails and the caller reads again.
        return StoreEntry(value, 0)

    async def _fetch(self, method, key, query, wait_s, body=None):
        path = f"/v1/kv/{quote(key)}"
        if query:
            path += f"?{urlencode(query)}"
        failures = []
        for offset in range(len(self._urls)):
            url_index = (self._preferred_index + offset) % len(self._urls)
            url = self._urls[url_index]
            request = HTTPRequest(
                url + path,
                method=method,
                body=body,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=REQUEST_TIMEOUT_S + wait_s,
                follow_redirects=False,
            )
            try:
                response = await self._fetch_shielded(request)
            except (HTTPError, OSError, ValueError) as error:
                failures.append(f"{url}: {error}")
                continue
            if response.code == 200 or (response.code == 404 and method == "GET"):
                self._preferred_index = url_index
                return response
            failures.append(f"{url}: HTTP {response.code}")
        return StoreUnavailable("; ".join(failures) or "no store URL")

    async def _fetch_shielded(self, request: HTTPRequest) -> HTTPResponse:
        # The shield lets the request of a cancelled watch end by itself. If the future
        # of a request is cancelled, tornado logs its failure with a traceback.
        future = self._client.fetch(request, raise_error=False)
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(future)
