"""Steps for matching answers with requests in flight."""

from behave import given, then, when

from tests.fakes import FakeNetwork, run_virtual
from wisteriatiller.ids import CallerId, FlowKey, UpstreamId
from wisteriatiller.requests.duplicates import (
    DuplicateTable,
    RequestRecord,
    RequestState,
)
from wisteriatiller.requests.inflight import InFlightRequests
from wisteriatiller.requests.queueing import Request
from wisteriatiller.transport.coapcodec import CoapHeader, MessageType

FLOW = FlowKey(bytes(12))
TOKEN = b"token"
CODE_GET = 1
CODE_CONTENT = 69


def make_request(message_id):
    head = CoapHeader(MessageType.CON, CODE_GET, message_id, TOKEN)
    record = RequestRecord(RequestState.DISPATCHED, UpstreamId("u"), 0.0)
    return Request(FLOW, CallerId("10.0.0.1"), head, b"", 0.0, 2.0, record)


def put_in_flight(in_flight, request):
    in_flight.assign_message_id(request)
    in_flight.add(request)
    in_flight.set_timers(request, [])


@given("a request in flight whose token was used before by {former}")
def given_token_used_again(context, former):
    async def build():
        environment = FakeNetwork().environment("a", "z")
        in_flight = InFlightRequests(environment, DuplicateTable(), None, None)
        first, second = make_request(1), make_request(2)
        put_in_flight(in_flight, first)
        in_flight.release(first, answered=former == "an answered request")
        put_in_flight(in_flight, second)
        separate = CoapHeader(MessageType.CON, CODE_CONTENT, 900, TOKEN)
        piggybacked = CoapHeader(MessageType.ACK, CODE_CONTENT, 2, TOKEN)
        return second, [
            in_flight.find_request(FLOW, head) for head in (separate, piggybacked)
        ]

    context.second_request, context.matches = run_virtual(build())


@when("a separate answer with that token arrives")
def when_separate(context):
    context.separate_match, context.piggybacked_match = context.matches


@then("the separate answer belongs to no request in flight")
def then_none(context):
    assert context.separate_match is None


@then("a piggybacked answer with the message id belongs to its request")
def then_piggybacked(context):
    assert context.piggybacked_match is context.second_request


@then("the separate answer belongs to the request in flight")
def then_second(context):
    assert context.separate_match is context.second_request
