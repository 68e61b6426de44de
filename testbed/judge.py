"""Compares the callers' records with the upstreams' records.

The balancers' own counters play no part: what counts is what callers received and
what upstreams started and sent.
"""

import collections
from dataclasses import dataclass, field


@dataclass
class Verdict:
    """The counts of a run and the details behind each violation."""

    requests: int = 0
    answered: int = 0
    refused_not_run: int = 0
    outcome_unknown: int = 0
    without_answer: int = 0
    errors: int = 0
    broken_flows: int = 0
    mixed_answers: int = 0
    run_twice: int = 0
    false_not_run: int = 0
    contradicting_answers: int = 0
    imbalance_ratio: float = 0.0
    details: dict[str, list] = field(
        default_factory=lambda: collections.defaultdict(list)
    )

    @property
    def promises_held(self) -> bool:
        return not (
            self.broken_flows
            or self.mixed_answers
            or self.run_twice
            or self.false_not_run
            or self.without_answer
            or self.errors
        )

    def line(self, name: str) -> str:
        """The closing line of a run."""
        return (
            f"{name} requests={self.requests} answered={self.answered} "
            f"refused_not_run={self.refused_not_run} "
            f"outcome_unknown={self.outcome_unknown} "
            f"broken_flows={self.broken_flows} mixed_answers={self.mixed_answers} "
            f"run_twice={self.run_twice} imbalance_ratio={self.imbalance_ratio:.3f}"
        )


def judge(callers: list[dict], upstreams: dict[str, dict]) -> Verdict:
    """Count outcomes and violations over all records."""
    verdict = Verdict()
    started, sent = _index_upstreams(upstreams)
    for record in callers:
        for entry in record["requests"]:
            _judge_request(verdict, entry, started, sent)
    _judge_flows(verdict, callers, upstreams)
    _judge_answers(verdict, callers, upstreams, sent)
    _judge_numbers(verdict, upstreams)
    return verdict


def _index_upstreams(upstreams):
    started = set()
    sent = collections.defaultdict(set)
    for record in upstreams.values():
        for flow, token, *_ in record["starts"]:
            started.add((flow, token))
        for flow, token, _mid, digest in record["answers"]:
            sent[flow, token].add(digest)
    return started, sent


def _judge_request(verdict: Verdict, entry: list, started, sent) -> None:
    flow, token, outcome, digest = entry[0], entry[1], entry[6], entry[7]
    verdict.requests += 1
    if outcome == "answered":
        verdict.answered += 1
        if digest not in sent[flow, token]:
            verdict.mixed_answers += 1
            verdict.details["answer_not_sent"].append(entry)
    elif outcome == "refused_not_run":
        verdict.refused_not_run += 1
        if (flow, token) in started:
            verdict.false_not_run += 1
            verdict.details["false_not_run"].append(entry)
    elif outcome == "outcome_unknown":
        verdict.outcome_unknown += 1
        verdict.details["outcome_unknown"].append(entry)
    elif outcome == "error":
        verdict.errors += 1
        verdict.details["error"].append(entry)
    else:
        # Timed out, or still open at the end: no final answer reached the caller.
        verdict.without_answer += 1
        verdict.details["without_answer"].append(entry)


def _judge_flows(verdict: Verdict, callers, upstreams) -> None:
    """A flow is broken if its session moved to an upstream that does not know it."""
    broken = {}
    for upstream_id, record in upstreams.items():
        for flow, step in record["broken_flows"]:
            broken[flow] = f"step {step} unknown at {upstream_id}"
    for record in callers:
        for flow, former, new in record["changed_upstreams"]:
            broken.setdefault(flow, f"moved from {former} to {new}")
    verdict.broken_flows = len(broken)
    verdict.details["broken_flow"].extend(broken.items())


def _judge_answers(verdict: Verdict, callers, upstreams, sent) -> None:
    for record in callers:
        for name in ("foreign_answers", "torn_bodies"):
            verdict.mixed_answers += len(record[name])
            verdict.details[name].extend(record[name])
        for entry in record["changed_answers"]:
            _judge_changed_answer(verdict, entry, sent)
    for upstream_id, record in upstreams.items():
        packets = record["foreign_packets"]
        verdict.mixed_answers += len(packets)
        verdict.details["foreign_packet"].extend([upstream_id, *p] for p in packets)


def _judge_changed_answer(verdict: Verdict, entry: list, sent) -> None:
    """Judge an answer that came after a first one with other bytes.

    The caller ignores it. It is still a mix if no upstream sent these bytes for this
    request. Otherwise, or without a result in it, it contradicts the first answer:
    such as the result of a request that was given up on as "outcome unknown".
    """
    flow, token, digest, code, _first = entry
    if code.startswith("2.") and digest not in sent[flow, token]:
        verdict.mixed_answers += 1
        verdict.details["changed_answer"].append(entry)
    else:
        verdict.contradicting_answers += 1
        verdict.details["contradicting_answer"].append(entry)


def _judge_numbers(verdict: Verdict, upstreams) -> None:
    """A quote or confirmation runs at most once, over all upstreams."""
    starts = collections.defaultdict(list)
    for upstream_id, record in upstreams.items():
        for flow, _token, mid, method, _path, number, *_ in record["starts"]:
            if method == "POST":
                starts[number].append([upstream_id, flow, mid])
    for number, places in starts.items():
        if len(places) > 1:
            verdict.run_twice += 1
            verdict.details["run_twice"].append([number, places])


def imbalance_ratio(
    busy_before_s: dict[str, float],
    busy_after_s: dict[str, float],
    members: dict[str, list[str]],
) -> tuple[float, dict[str, float]]:
    """Max over mean of the busy-slot time between two readings.

    ``members`` names the upstreams of each service that take new flows; the result is
    the worst service's ratio and the ratio of each.
    """
    ratios = {}
    for service, upstream_ids in members.items():
        spent = [busy_after_s[u] - busy_before_s[u] for u in upstream_ids]
        mean_s = sum(spent) / len(spent)
        if mean_s > 0:
            ratios[service] = max(spent) / mean_s
    return max(ratios.values(), default=0.0), ratios


def new_flows_after(record: dict, moment_s: float) -> list:
    """Flows that first reached an upstream after ``moment_s`` (monotonic clock)."""
    return [entry for entry in record["new_flows"] if entry[1] > moment_s]
