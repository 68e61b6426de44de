"""Answers to requests that never reach a dispatcher."""

from collections.abc import Callable

from wisteriatiller.configuration import ConfigSource, RequestMode, Service
from wisteriatiller.exceptions import MessageError
from wisteriatiller.foundation import Environment
from wisteriatiller.ids import FlowKey
from wisteriatiller.outcomes import OutcomeUnknown, Reason, Refused
from wisteriatiller.transport import coapcodec, proxyheader

from .flowmessages import Forward

AnswerCaller = Callable[[FlowKey, bytes], None]


class CallerReplies:
    """Answers forwarded requests; drops the datagrams of opaque services."""

    def __init__(
        self, environment: Environment, source: ConfigSource, answer: AnswerCaller
    ):
        self._metrics = environment.metrics
        self._source = source
        self._answer = answer

    def service_of(self, forward: Forward) -> Service | None:
        """The service at the destination address of the datagram, if there is one."""
        destination = proxyheader.destination(FlowKey(forward.flow_key))
        return self._source.configuration.service_by_address.get(destination)

    def answer_unroutable(self, forward: Forward, reason: Reason) -> None:
        """Answer "outcome unknown" to a request that cannot reach its owner.

        A refusal would say that the request did not run. Only the owner's records
        show whether an earlier copy of it ran.
        """
        self.answer_unknown(forward, OutcomeUnknown(reason))

    def answer_unknown(self, forward: Forward, outcome: OutcomeUnknown) -> None:
        """Answer that the request may or may not have run."""
        self._answer_request(
            forward, lambda head: coapcodec.encode_outcome_unknown(head, outcome)
        )

    def refuse(self, forward: Forward, outcome: Refused) -> None:
        """Answer that the request did not run."""
        self._answer_request(
            forward, lambda head: coapcodec.encode_refusal(head, outcome)
        )

    def _answer_request(self, forward: Forward, build_answer) -> None:
        service = self.service_of(forward)
        if service is None or service.mode is RequestMode.OPAQUE:
            self._metrics.count("owner.dropped_datagrams")
            return
        try:
            head = coapcodec.decode_header(forward.payload)
        except MessageError:
            self._metrics.count("owner.bad_payloads")
            return
        if head.is_request:
            self._answer(FlowKey(forward.flow_key), build_answer(head))
