import re

import behave

from features import forwarding_router as fleets
from features import unbounded_fleet

_WARM_S = 1.5


@behave.given(
    'a gateway process and {count:d} replicas, of which {faulty:d} may send {form} without end'
)
def new_fleet(context, count, faulty, form):
    context.fleet = unbounded_fleet.Fleet(count, faulty, form)
    context.add_cleanup(context.fleet.close)


@behave.when(
    'they do, and {callers:d} callers send request after request for {seconds:g} s'
)
def callers_during(context, callers, seconds):
    # The budget for retries fills up, and all threads have started.
    context.fleet.call_for(callers, _WARM_S)
    context.before_mb = context.fleet.resident_mb()
    context.fleet.spoil()
    context.statuses = context.fleet.call_for(callers, seconds)


@behave.then(
    'each caller got {status:d}, and the faulty replicas fewer than {most:d} requests'
)
def each_got(context, status, most):
    asked = context.fleet.faulty_requests()
    seen = (context.statuses, asked, context.fleet.reasons())
    assert set(context.statuses) == {status}, seen
    assert 0 < asked < most, seen


@behave.then('the metrics name only faulty replicas as users of the memory')
def metrics_name(context):
    used = set(
        re.findall(
            r'papayaloom_buffered_peak_bytes{replica="(.*)"} [1-9]',
            context.fleet.metrics(),
        )
    )
    assert used <= context.fleet.faulty_names(), used


@behave.then(
    'within {seconds:g} s the process holds at most {most:d} MB more than before'
)
def memory_returned(context, seconds, most):
    bound_mb = context.before_mb + most
    fleet = context.fleet
    assert fleets.until(seconds, lambda: fleet.resident_mb() <= bound_mb), (
        context.before_mb,
        fleet.resident_mb(),
    )
