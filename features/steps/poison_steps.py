import http.client
import time

import behave

from features import mortal_fleet

_ENDS = 3


@behave.given(
    '{gateways:d} gateway processes and {replicas:d} replicas that end under a poison request'
)
def poisoned_fleet(context, gateways, replicas):
    context.fleet = mortal_fleet.Fleet(gateways, replicas)
    context.add_cleanup(context.fleet.close)


@behave.when(
    'the poison request comes again and again as "{method}" "{path}" for {seconds:g} s'
)
def poison_comes(context, method, path, seconds):
    callers = mortal_fleet.Callers(context.fleet, method, path)
    time.sleep(seconds)
    callers.stop()
    context.answers = callers.answers


@behave.then(
    'later than {seconds:g} s after its third end it has reached at most {most:d} replicas'
)
def is_stopped(context, seconds, most):
    ends = context.fleet.poisoned()
    assert len(ends) >= _ENDS, ends
    late = [at for at in ends if at > ends[_ENDS - 1] + seconds]
    assert len(late) <= most, (
        f'{len(late)} more than {seconds} s after, {len(ends)} ended in all'
    )


@behave.then('other callers of "{path}" are served at every gateway')
def others_served(context, path):
    for gateway in context.fleet.gateways:
        answer = mortal_fleet.ask(gateway, 'GET', path)
        assert answer.status == http.client.OK, answer.status
