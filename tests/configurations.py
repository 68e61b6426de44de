"""Builders of configuration texts for tests."""

import json


def service(address, upstreams, **keys):
    return {"address": address, "requests": "coap", "upstreams": upstreams, **keys}


def upstream(address, zone="quimper", **keys):
    return {"address": address, "zone": zone, "slots": 3, **keys}


def document(count=2, **keys):
    """Return a text as a dict: one service with ``count`` upstreams."""
    upstreams = {
        f"stock-{number}": upstream(f"10.20.0.{number}:7001")
        for number in range(1, count + 1)
    }
    services = {"stock-browser": service("10.10.0.1:5683", upstreams)}
    return {"shard_count": 16, "services": services, **keys}


def text(count=2, **keys) -> bytes:
    return json.dumps(document(count, **keys), indent=2).encode()
