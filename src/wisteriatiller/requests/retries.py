"""Retry budget, retry delay and message ids of retries."""

from collections import deque

from wisteriatiller.foundation import Environment
from wisteriatiller.ids import FlowKey

from .duplicates import EXCHANGE_LIFETIME_S

# Retries and retransmissions may add a tenth to the upstream's load. A higher ratio
# would let them sustain an overload.
RETRY_RATIO = 0.1
MAX_RETRY_TOKENS = 10.0
# Retries of refused requests leave this many tokens for retransmissions of unanswered
# ones, each of which holds a slot until it is answered or times out.
RESERVED_FOR_RETRANSMISSIONS = 5.0
MAX_DISPATCHES = 2
# An unanswered request is retransmitted after at least this many mean service times.
MIN_RETRANSMISSION_SERVICE_TIMES = 2.0
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.2


class RetryBudget:
    """A token bucket that each successful request fills by ``RETRY_RATIO``.

    It starts empty, so retries never exceed that ratio of the answers so far.
    """

    def __init__(self):
        self.spent = 0
        self._tokens = 0.0

    def record_success(self) -> None:
        """Add the tokens for one successful request."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_RATIO)

    def try_spend(self, reserve: float = 0.0) -> bool:
        """Spend one token if the budget has it and ``reserve`` more."""
        # The tolerance is needed since ten additions of 0.1 give slightly less than 1.
        if self._tokens < reserve + 1 - 1e-9:
            return False
        self._tokens -= 1
        self.spent += 1
        return True


def retry_delay_s(environment: Environment, service_time_s: float) -> float:
    """A jittered delay, so that refused requests are not retried all at once."""
    typical_s = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, service_time_s))
    return typical_s * environment.random.uniform(0.5, 1.5)


class UpstreamMessageIds:
    """Message ids that this host allocated for retries, per flow.

    An upstream answers a repeated message id with its earlier answer (RFC 7252,
    section 4.5), so a retry of a refused request needs a new id. A later request of
    the caller must not use that id: it would get the retry's answer.
    """

    def __init__(self, environment: Environment):
        self._environment = environment
        self._allocated: set[tuple[FlowKey, int]] = set()
        self._expiry: deque[tuple[float, tuple[FlowKey, int]]] = deque()

    def is_allocated(self, flow_key: FlowKey, message_id: int) -> bool:
        """Whether the id was allocated within the exchange lifetime."""
        self._expire()
        return (flow_key, message_id) in self._allocated

    def allocate(self, flow_key: FlowKey, is_used) -> int:
        """Allocate a random message id for which ``is_used`` returns False."""
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
    """A copy of a CoAP message with another message id."""
    return payload[:2] + message_id.to_bytes(2, "big") + payload[4:]
