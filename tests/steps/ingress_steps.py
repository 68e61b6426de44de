"""Steps for pinned flows at the ingress."""

import asyncio
import socket
from types import SimpleNamespace

from behave import given, then, when

from tests.fakes import FakeNetwork, run_virtual
from wisteriatiller.configuration.config import (
    ConfigSource,
    Configuration,
    RequestMode,
    Service,
    Upstream,
)
from wisteriatiller.foundation.interfaces import DatagramSocket
from wisteriatiller.ids import Address, FlowKey, Revision, ServiceId, UpstreamId, ZoneId
from wisteriatiller.owners.homes import HomeResolver
from wisteriatiller.owners.ingress import PIN_REFRESH_S, Ingress
from wisteriatiller.transport import proxyheader

ZONE = ZoneId("brest")
UPSTREAM_ID = UpstreamId("sheet-1")
SERVICE_ADDRESS = Address("10.10.0.1", 5683)
UPSTREAM_ADDRESS = Address("10.20.0.1", 7001)
# With the long idle timeout, a pin is due for a refresh before it expires as idle.
SHORT_IDLE_S = 5
LONG_IDLE_S = 300


class _FakeSource(ConfigSource):
    def __init__(self, configuration):
        self._configuration = configuration
        self._listeners = []

    @property
    def configuration(self):
        return self._configuration

    def subscribe(self, listener):
        self._listeners.append(listener)

    async def catch_up(self, host_id, revision, timeout_s):
        return True

    def change(self, configuration):
        self._configuration = configuration
        for listener in self._listeners:
            listener(configuration)


class _RecordingPort(DatagramSocket):
    def __init__(self):
        self.sent = []

    def send(self, data, address):
        self.sent.append((data, address))

    def close(self):
        pass


def _configuration(mode, idle_s, revision=1):
    service_id = ServiceId("sheet-service")
    upstream = Upstream(UPSTREAM_ID, service_id, UPSTREAM_ADDRESS, ZONE, 3)
    service = Service(
        service_id, SERVICE_ADDRESS, mode, {UPSTREAM_ID: upstream}, flow_idle_s=idle_s
    )
    return Configuration(Revision(revision), {service_id: service})


def _flow_key(port=20000):
    service = socket.inet_aton(SERVICE_ADDRESS.ip)
    ports = port.to_bytes(2, "big") + SERVICE_ADDRESS.port.to_bytes(2, "big")
    return FlowKey(socket.inet_aton("10.99.0.1") + service + ports)


def _run_with_pin(context, wait_s, act):
    """Pin a flow at an ingress, wait, call ``act`` and keep what was sent."""

    async def scenario():
        environment = FakeNetwork().environment("host-1", ZONE)
        source = _FakeSource(_configuration(RequestMode.OPAQUE, context.idle_s))
        membership = SimpleNamespace(is_zone_reachable=lambda zone: True)
        forwards = []
        owner = SimpleNamespace(receive=lambda sender, item: forwards.append(item))
        ingress = Ingress(environment, source, HomeResolver(source, membership), owner)
        ingress.upstream_port = _RecordingPort()
        ingress.pin(_flow_key(), UPSTREAM_ID)
        await asyncio.sleep(wait_s)
        context.data = act(ingress, source)
        context.sent = ingress.upstream_port.sent
        context.forwards = forwards
        context.counters = environment.metrics.counters()

    run_virtual(scenario())


def _receive(ingress, header):
    data = header + b"drawing"
    ingress.receive(data, Address("10.255.0.1", 7000))
    return data


@given("an ingress with a pinned flow of an opaque service")
def given_pinned_flow(context):
    context.idle_s = LONG_IDLE_S


@when("a datagram of the flow arrives")
def when_datagram_of_flow(context):
    header = proxyheader.make_header(_flow_key())
    _run_with_pin(context, 1.0, lambda ingress, source: _receive(ingress, header))


@when("a datagram after the pin's refresh time arrives")
def when_refresh_due(context):
    header = proxyheader.make_header(_flow_key())
    wait_s = PIN_REFRESH_S + 1
    _run_with_pin(context, wait_s, lambda ingress, source: _receive(ingress, header))


@when("a datagram after the flow's idle timeout arrives")
def when_flow_idle(context):
    context.idle_s = SHORT_IDLE_S
    header = proxyheader.make_header(_flow_key())
    wait_s = SHORT_IDLE_S + 1
    _run_with_pin(context, wait_s, lambda ingress, source: _receive(ingress, header))


@when("a datagram after the service became coap arrives")
def when_mode_changed(context):
    def act(ingress, source):
        source.change(_configuration(RequestMode.COAP, context.idle_s, revision=2))
        return _receive(ingress, proxyheader.make_header(_flow_key()))

    _run_with_pin(context, 1.0, act)


@when("a datagram of another flow arrives")
def when_datagram_of_other_flow(context):
    header = proxyheader.make_header(_flow_key(port=20001))
    _run_with_pin(context, 1.0, lambda ingress, source: _receive(ingress, header))


@when("a datagram with a header truncated inside a TLV arrives")
def when_header_truncated(context):
    header = proxyheader.with_deadline(proxyheader.make_header(_flow_key()), 1)

    def act(ingress, source):
        data = header[: proxyheader.IPV4_HEADER_BYTES + 2]
        ingress.receive(data, Address("10.255.0.1", 7000))

    _run_with_pin(context, 1.0, act)


@then("it is sent straight to the upstream")
def then_sent_to_upstream(context):
    assert context.sent == [(context.data, UPSTREAM_ADDRESS)], context.sent
    assert not context.forwards


@then("it is sent to the owner")
def then_sent_to_owner(context):
    assert not context.sent, context.sent
    assert [item.payload for item in context.forwards] == [b"drawing"]


@then("it is counted as bad")
def then_counted_bad(context):
    assert not context.sent and not context.forwards
    assert context.counters["ingress.bad_datagrams"] == 1
