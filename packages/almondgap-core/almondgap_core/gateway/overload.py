"""Whether a request that can be sent is worth sending, and when to come back if not.

Answers the load of more requests than targets can serve within the response-time goal.
Every request beyond that would wait in a target's queue and make all those after it
late as well, until nothing is on time. So a request is refused at once, before it is
sent, as soon as waiting would make it late; the caller learns when the queue will be
short enough. Less urgent requests are refused sooner than more urgent ones, so that the
queue keeps room for these.
"""

from __future__ import annotations

from almondgap_core.gateway.placement import Choice
from almondgap_core.gateway.state import Call, GatewayState
from almondgap_core.units import MICROS_PER_MILLI, millis
from almondgap_core.verdict import Reason, Refusal, Verdict

#: Part of the response-time goal that an expected answer may take if it has to wait,
#: by priority; the last holds for all that are less urgent.
GOAL_FRACTIONS = (1.0, 0.95, 0.9)

#: Part of the response-time goal for which a request may wait that is late anyway.
LATE_QUEUE_FRACTION = 0.25

#: Part of the time of a request that an expected answer may take in any case.
TIME_FRACTION = 0.95

#: Least time after which a caller is told to come back, and what is added at random so
#: that those who were refused together do not come back together.
MIN_RETRY_AFTER_US = millis(100)
RETRY_AFTER_JITTER_US = millis(150)


def check_overload(
    state: GatewayState, call: Call, choice: Choice, now: int
) -> Refusal | None:
    """Return why a request is not sent to the target chosen, None if it is sent."""
    left = call.expires_at - now
    goal = call.arrived_at + call.route.goal - now
    priority = find_priority(call)
    part = GOAL_FRACTIONS[min(priority, len(GOAL_FRACTIONS) - 1)]
    waits = choice.queued > 0
    late = waits and choice.expected > goal * part
    if late and choice.expected - choice.queued > goal * part:
        # It is late by its work alone, and so warms the object for those after it;
        # what it may not do is make a long queue longer.
        late = choice.queued > goal * LATE_QUEUE_FRACTION
    hopeless = choice.expected > left * TIME_FRACTION
    if not late and not hopeless:
        return None
    if not waits and not late and call.sent_to == []:
        # Nothing waits there: work that seems too long is still tried, since the
        # expectation is an average and the object becomes warm.
        return None
    over = choice.expected - max(0, goal * part)
    wait = max(MIN_RETRY_AFTER_US, round(min(over, choice.queued)))
    wait += state.draw_random(RETRY_AFTER_JITTER_US)
    detail = (
        f"best target {choice.target.name} would answer in "
        f"{choice.expected // MICROS_PER_MILLI} ms, "
        f"{choice.queued // MICROS_PER_MILLI} ms of it waiting; "
        f"goal {goal // MICROS_PER_MILLI} ms, left {left // MICROS_PER_MILLI} ms"
    )
    verdict = Verdict.MAY_HAVE_RUN if call.may_have_run else Verdict.NOT_RUN
    status = 502 if call.may_have_run else 503
    return Refusal(status, Reason.NO_CAPACITY, verdict, detail, wait)


def find_priority(call: Call) -> int:
    """Return the rank of a request; its account's goes before its route's."""
    if call.account is not None and call.account.priority is not None:
        return call.account.priority
    return call.route.priority
