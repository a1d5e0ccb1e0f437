import http.client
import time

import behave

from features import mortal_fleet

_ENDS = 3
_PART_ENDS = 5


def late_answers(context, answers, seconds, least):
    """Return the answers from some time after the last end on."""
    last = max(context.fleet.poisoned())
    late = [one for at, one in answers if at > last + seconds]
    assert len(late) >= least, f'{len(late)} answers'
    return late


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
    _assert_stopped(context, _ENDS, seconds, most)


@behave.then(
    'later than {seconds:g} s after its fifth end it has reached at most {most:d} replicas'
)
def part_is_stopped(context, seconds, most):
    _assert_stopped(context, _PART_ENDS, seconds, most)


def _assert_stopped(context, count, seconds, most):
    ends = context.fleet.poisoned()
    assert ends, 'no replica ended'
    late = [at for at in ends[count:] if at > ends[count - 1] + seconds]
    assert len(late) <= most, (
        f'{len(late)} more than {seconds} s after, {len(ends)} ended in all'
    )


@behave.then(
    'later than {seconds:g} s after its last end all of its callers are refused as "not run", at least {least:d} times'
)
def is_refused(context, seconds, least):
    for answer in late_answers(context, context.answers, seconds, least):
        assert answer.status == http.client.SERVICE_UNAVAILABLE, answer.status
        assert float(answer.headers['Retry-After']) > 0


@behave.then('other callers of "{path}" are served at every gateway')
def others_served(context, path):
    for gateway in context.fleet.gateways:
        answer = mortal_fleet.ask(gateway, 'GET', path)
        assert answer.status == http.client.OK, answer.status


@behave.given(
    '{gateways:d} gateway processes and {replicas:d} replicas that come back under their id after a poison request'
)
def same_ids(context, gateways, replicas):
    context.fleet = mortal_fleet.Fleet(gateways, replicas, keeps_id=True)
    context.add_cleanup(context.fleet.close)


@behave.given(
    '{gateways:d} gateway processes and {replicas:d} replicas that end at event {number:d} of a poison request'
)
def end_midway(context, gateways, replicas, number):
    context.fleet = mortal_fleet.Fleet(gateways, replicas, runs_to=number)
    context.add_cleanup(context.fleet.close)


@behave.given(
    '{gateways:d} gateway processes and {replicas:d} replicas that end at any event of a poison request'
)
def end_anywhere(context, gateways, replicas):
    anywhere = mortal_fleet.ANYWHERE
    context.fleet = mortal_fleet.Fleet(gateways, replicas, runs_to=anywhere)
    context.add_cleanup(context.fleet.close)


@behave.given(
    '{gateways:d} gateway processes and {replicas:d} replicas with streams of {events:d} events'
)
def long_streams(context, gateways, replicas, events):
    context.fleet = mortal_fleet.Fleet(gateways, replicas, events=events)
    context.add_cleanup(context.fleet.close)


@behave.when(
    'replicas end for reasons of their own each {pause:g} s for {seconds:g} s, under streams to "{path}"'
)
def end_of_their_own(context, pause, seconds, path):
    fleet = context.fleet
    callers = [
        mortal_fleet.Callers(fleet, 'POST', path, part=part, pause_s=0.05)
        for part in ('50', '51', '52')
    ]
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        fleet.end_next_replica()
        time.sleep(pause)
    for one in callers:
        one.stop()
    context.answers = [found for one in callers for found in one.answers]


@behave.then(
    'no caller is refused for a condemned part, and {least:d} are served'
)
def none_condemned(context, least):
    served = 0
    for _, answer in context.answers:
        assert b'condemned' not in getattr(answer, 'content', b'')
        served += answer.status == http.client.OK
    assert served >= least, served


@behave.when('one gateway process is killed and starts again')
def restarted(context):
    context.fleet.restart(context.fleet.gateways[0])


@behave.when('another gateway process is added')
def added(context):
    context.fleet.add_gateway()


@behave.when('the store is away')
def store_away(context):
    context.fleet.twin.faults.outage = True


@behave.when('the store is back for {seconds:g} s')
def store_back(context, seconds):
    context.fleet.twin.faults.outage = False
    time.sleep(seconds)


@behave.then('every gateway refuses "{method}" "{path}" and no replica gets it')
def all_refuse(context, method, path):
    before = len(context.fleet.poisoned())
    for gateway in context.fleet.gateways:
        answer = mortal_fleet.ask(gateway, method, path, 'q-last')
        assert answer.status == http.client.SERVICE_UNAVAILABLE, answer.status
    assert len(context.fleet.poisoned()) == before


@behave.then('no caller was refused for replicas that ended')
def none_refused(context):
    for answer in context.answers:
        assert b'replicas ended' not in answer.content, answer.content


@behave.then('the router suspects no request')
def none_suspected(context):
    assert not context.router.dump()['dispatch']['poison']


@behave.then('some gateway has heard of it through a relay')
def heard_by_relay(context):
    watching = context.fleet.store_calls().count('/kv-watch')
    time.sleep(3)
    calls = context.fleet.store_calls().count('/kv-watch') - watching
    # Only the roots watch: less than one call a second for each gateway.
    assert calls < 3 * 14, f'{calls} watches in 3 s: no relays at work'
    logs = context.fleet.logs()
    assert 'poison: report not delivered' not in logs
    assert logs.count('dispatch: received a poison report') >= 10


@behave.when(
    'requests with a poison part come as "{method}" "{path}" for {seconds:g} s, beside sound ones with the other parts'
)
def poison_part_comes(context, method, path, seconds, **ways):
    fleet = context.fleet
    poisoned = mortal_fleet.Callers(
        fleet, method, path, part=mortal_fleet.POISON_PART, **ways
    )
    sound = mortal_fleet.Callers(fleet, method, path, part='50')
    time.sleep(seconds)
    for callers in (poisoned, sound):
        callers.stop()
    context.answers = poisoned.answers
    context.sound_answers = sound.answers


@behave.when(
    'now and then requests with a poison part come as "{method}" "{path}" for {seconds:g} s, beside sound ones with the other parts'
)
def poison_part_comes_now_and_then(context, method, path, seconds):
    poison_part_comes(context, method, path, seconds, count=1, pause_s=0.8)


@behave.then(
    'later than {seconds:g} s after the last end all sound requests are served, at least {least:d}'
)
def sound_served(context, seconds, least):
    for answer in late_answers(context, context.sound_answers, seconds, least):
        assert answer.status == http.client.OK, answer.content
