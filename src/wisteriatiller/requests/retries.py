"""Repeated dispatches: their budget and their message ids."""

from collections import deque

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import FlowKey

from .duplicates import EXCHANGE_LIFETIME_S

# RetryPolicy may add a tenth to the upstream's load. A higher share would let retries
# keep an overload going.
RETRY_RATIO = 0.1
MAX_RETRY_TOKENS = 10.0
# An unanswered request holds a slot until it is sent again or times out. Retries of
# refused requests leave this much of the budget for those.
RESERVED_FOR_RETRANSMISSIONS = 5.0
MAX_DISPATCHES = 2
# An unanswered request is sent again no earlier than after this many mean answer
# times.
MIN_RETRANSMISSION_SERVICE_TIMES = 2.0
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.2


class RetryBudget:
    """A token bucket filled by successes.

    It starts empty, so repeats never exceed their share of the answers so far.
    """

    def __init__(self):
        self.spent = 0
        self._tokens = 0.0

    def record_success(self) -> None:
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_RATIO)

    def try_spend(self, reserve: float = 0.0) -> bool:
        """Spend one repeat if the budget has it and ``reserve`` more."""
        # Ten additions of 0.1 give slightly less than one in floating point.
        if self._tokens < reserve + 1 - 1e-9:
            return False
        self._tokens -= 1
        self.spent += 1
        return True


def retry_delay_s(environment: Environment, service_time_s: float) -> float:
    """A short random delay, so that refused requests do not return together."""
    typical_s = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, service_time_s))
    return typical_s * environment.random.uniform(0.5, 1.5)


class UpstreamMessageIds:
    """Message ids that an upstream has seen from this host and not from the caller.

    An upstream answers a repeated message id with its former answer (RFC 7252,
    section 4.5), so a retry of a refused request needs a new id. Such an id must not
    be used for a later request of the caller, which would get the retry's answer.
    """

    def __init__(self, environment: Environment):
        self._environment = environment
        self._allocated: set[tuple[FlowKey, int]] = set()
        self._expiry: deque[tuple[float, tuple[FlowKey, int]]] = deque()

    def is_allocated(self, flow_key: FlowKey, message_id: int) -> bool:
        self._expire()
        return (flow_key, message_id) in self._allocated

    def allocate(self, flow_key: FlowKey, is_used) -> int:
        """A message id for which ``is_used`` is false and that was not taken."""
        self._expire()
        while True:
            message_id = self._environment.random.randrange(1 << 16)
            key = (flow_key, message_id)
            if key not in self._allocated and not is_used(message_id):
                break
        self._allocated.add(key)
        expires_s = self._environment.clock.now_s() + EXCHANGE_LIFETIME_S
        self._expiry.append((expires_s, key))
        return message_id

    def _expire(self) -> None:
        now_s = self._environment.clock.now_s()
        while self._expiry and self._expiry[0][0] <= now_s:
            self._allocated.discard(self._expiry.popleft()[1])


def with_message_id(payload: bytes, message_id: int) -> bytes:
    """A CoAP message with another message id."""
    return payload[:2] + message_id.to_bytes(2, "big") + payload[4:]
