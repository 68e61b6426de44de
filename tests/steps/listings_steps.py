"""Steps for listings in pages."""

import json
from functools import partial

from behave import given, then, when

from testbed.platformstandin import StandInStore, configuration, entry, route
from testbed.steeringparts import steering_settings
from tests.storecalls import run_call
from wisteriatiller.ids import Address, Revision, StorePosition
from wisteriatiller.network import EventLoop
from wisteriatiller.platform.store import ListingBuilder, PlatformStore
from wisteriatiller.steering import Listing
from wisteriatiller.steering.ports import ConfigRead
from wisteriatiller.steering.snapshotrequests import (
    SnapshotRequest,
    decode_request,
    encode_request,
)

# PROTOCOL.md: a page holds at most about 500 items or 1 MB.
STORE_PAGE_ITEMS = 500
ADDRESS = "10.128.0.9:8080"
LARGE_VALUE = bytes(range(256)) * 3_500


def start_store(context):
    context.store = StandInStore("127.0.0.1")
    context.add_cleanup(context.store.close)
    context.store.page_items = STORE_PAGE_ITEMS
    context.store.put("op/config", configuration(1, route("198.18.0.1", 443, "stock")))
    context.settings = steering_settings(store=Address.parse(context.store.address))


def make_client(context, **changes):
    context.loop = EventLoop()
    context.client = PlatformStore(context.loop, context.settings._replace(**changes))


@given(
    "a store with {count:d} upstreams after {entries} of another writer, the last at "
    "{key}"
)
def given_store(context, count, entries, key):
    start_store(context)
    if entries == "500 entries":
        for number in range(STORE_PAGE_ITEMS - 1):
            context.store.put(f"servers/\x00{number:03}", b"")
    value = LARGE_VALUE if entries == "large value" else b""
    context.store.put(json.loads(key), value)
    # These sort after the keys of all examples.
    for number in range(count):
        context.store.put(f"servers/z-{number + 1:x}", entry("stock", ADDRESS))
    make_client(context)


@when("the settings limit values to {limit_bytes:d} bytes")
def when_values_limited(context, limit_bytes):
    make_client(context, max_value_bytes=limit_bytes)


@then("the store client lists the {count:d} upstreams")
def then_listed(context, count):
    for is_current in (True, False):
        listing = run_call(context, partial(context.client.list_upstreams, is_current))
        assert isinstance(listing, Listing), listing
        assert len(listing.upstreams) == count, listing


@given("a store with evacuated zones after a large value at {key}")
def given_evacuated(context, key):
    start_store(context)
    context.store.put(json.loads(key), LARGE_VALUE)
    for zone in ("zone-a", "zone-b"):
        context.store.put(f"op/evacuate/{zone}", b"{}")
    make_client(context, evacuation_bound_s=3.0)


@then("the store client reads both evacuated zones")
def then_zones_read(context):
    answer = run_call(context, context.client.read_config)
    assert isinstance(answer, ConfigRead), answer
    assert answer.evacuations.zones == {"zone-a", "zone-b"}, answer


def page(*keys, truncated=True, revision=5):
    items = [{"key": key, "value": ""} for key in keys]
    return {"store_revision": revision, "items": items, "truncated": truncated}


@given("a page that ends with {last_key} and one that begins with {first_key}")
def given_pages(context, last_key, first_key):
    context.pages = [page(json.loads(last_key)), page(json.loads(first_key))]


@then("the second page is accepted after the first one")
def then_accepted(context):
    builder = ListingBuilder(is_current=True)
    for added in context.pages:
        assert not builder.add_page(added)


@given("a first page, and a second one that is empty and truncated")
def given_empty_page(context):
    context.pages = [page("servers/a"), page()]


@then("the second page is rejected")
def then_rejected(context):
    first, second = context.pages
    builder = ListingBuilder(is_current=True)
    builder.add_page(first)
    try:
        builder.add_page(second)
    except ValueError:
        return
    raise AssertionError(builder.build())


@given("a snapshot request of a host in zone {zone}")
def given_request(context, zone):
    context.request = SnapshotRequest(
        address=Address("10.1.0.10", 8166),
        zone=json.loads(zone),
        config_version=7,
        directory_position=StorePosition(1, Revision(530)),
        listing_version=9,
        wants_peers=True,
        wants_large_config=False,
    )


@then("it is decoded as it was, from a target without spaces")
def then_decoded(context):
    text = encode_request(context.request)
    assert text.isascii() and not set(text) & set(" &#?"), text
    assert decode_request(text) == context.request, text
