"""Runs calls of a store client to their end, for tests."""

import time

CALL_LIMIT_S = 10.0


def run_call(context, start):
    """Run the loop until a call of the client is answered; return the answer."""
    answers = []
    started_s = time.monotonic()
    start(answers.append)
    while not answers and time.monotonic() - started_s < CALL_LIMIT_S:
        context.loop.run_once()
    context.waited_s = time.monotonic() - started_s
    (answer,) = answers
    return answer
