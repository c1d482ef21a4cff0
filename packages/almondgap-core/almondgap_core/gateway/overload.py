"""Load shedding: whether a request is worth sending, and when to retry if not.

Handles more requests than targets can serve within the latency goal. Each request
beyond that would wait in a target's queue and delay all those behind it until none
meets the goal. A request is therefore refused before it is sent as soon as queueing
would make it late, and the caller learns when the queue will be short enough. Less
urgent requests are refused earlier than more urgent ones, which keeps room in the queue
for the latter.
"""

from __future__ import annotations

from almondgap_core.gateway.call import Call
from almondgap_core.gateway.placement import Choice
from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import MICROS_PER_MILLI, millis
from almondgap_core.verdict import Reason, Refusal, Verdict

#: Fraction of the latency goal that a request with queueing may be expected to take, by
#: priority; the last value applies to all lower priorities.
GOAL_FRACTIONS = (1.0, 0.95, 0.9)

#: Fraction of the latency goal for which a request may queue that is late in any case.
LATE_QUEUE_FRACTION = 0.25

#: Fraction of a request's remaining time that it may be expected to take.
TIME_FRACTION = 0.95

#: Minimum retry delay for a caller, and its jitter, so that callers that were refused
#: together do not come back together.
MIN_RETRY_AFTER_US = millis(100)
RETRY_AFTER_JITTER_US = millis(150)


def check_overload(
    state: GatewayState, call: Call, choice: Choice, now: int
) -> Refusal | None:
    """Return why a request must not be sent to the chosen target, None if it may be."""
    left = call.expires_at - now
    goal = call.arrived_at + call.route.goal - now
    priority = find_priority(call)
    fraction = GOAL_FRACTIONS[min(priority, len(GOAL_FRACTIONS) - 1)]
    has_queue = choice.queued > 0
    late = has_queue and choice.expected > goal * fraction
    if late and choice.expected - choice.queued > goal * fraction:
        # Its service time alone makes it late, so sending it at least fills the cache
        # for later requests; but it must not make a long queue longer.
        late = choice.queued > goal * LATE_QUEUE_FRACTION
    too_long = choice.expected > left * TIME_FRACTION
    if not late and not too_long:
        return None
    if not has_queue and not late and call.sent_to == []:
        # The target has no queue: try it even if the service time seems too long, since
        # that is an average and the object gets into the cache.
        return None
    excess = choice.expected - max(0, goal * fraction)
    retry_after = max(MIN_RETRY_AFTER_US, round(min(excess, choice.queued)))
    retry_after += state.draw_random(RETRY_AFTER_JITTER_US)
    detail = (
        f"best target {choice.target.name} is expected to answer in "
        f"{choice.expected // MICROS_PER_MILLI} ms, "
        f"{choice.queued // MICROS_PER_MILLI} ms of it queued; "
        f"goal {goal // MICROS_PER_MILLI} ms, time left {left // MICROS_PER_MILLI} ms"
    )
    verdict = Verdict.MAY_HAVE_RUN if call.may_have_run else Verdict.NOT_RUN
    status = 502 if call.may_have_run else 503
    return Refusal(status, Reason.NO_CAPACITY, verdict, detail, retry_after)


def find_priority(call: Call) -> int:
    """Return the priority of a request; its account's overrides its route's."""
    if call.account is not None and call.account.priority is not None:
        return call.account.priority
    return call.route.priority
