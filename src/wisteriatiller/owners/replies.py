"""Answers to requests that reach no dispatcher."""

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
    """Answers forwarded requests; the datagrams of opaque services are dropped."""

    def __init__(
        self, environment: Environment, source: ConfigSource, answer: AnswerCaller
    ):
        self._metrics = environment.metrics
        self._source = source
        self._answer = answer

    def service_of(self, forward: Forward) -> Service | None:
        """The service that the caller addressed."""
        destination = proxyheader.destination(FlowKey(forward.flow_key))
        return self._source.configuration.service_by_address.get(destination)

    def give_up(self, forward: Forward, reason: Reason) -> None:
        """Answer a request for which this host cannot say that it did not run.

        Without the owner's records, an earlier copy of the request may have run.
        """
        self.answer_unknown(forward, OutcomeUnknown(reason))

    def answer_unknown(self, forward: Forward, outcome: OutcomeUnknown) -> None:
        self._answer_request(
            forward, lambda head: coapcodec.outcome_unknown(head, outcome)
        )

    def refuse(self, forward: Forward, outcome: Refused) -> None:
        """Answer that the request did not run."""
        self._answer_request(forward, lambda head: coapcodec.refusal(head, outcome))

    def _answer_request(self, forward: Forward, build) -> None:
        service = self.service_of(forward)
        if service is None or service.mode is RequestMode.OPAQUE:
            self._metrics.count("owner.dropped_datagrams")
            return
        try:
            head = coapcodec.read_head(forward.payload)
        except MessageError:
            self._metrics.count("owner.bad_payloads")
            return
        if head.is_request:
            self._answer(FlowKey(forward.flow_key), build(head))
