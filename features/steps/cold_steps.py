"""Steps on replicas that need a warm-up."""

import json
import random

import behave
import msgspec

from features import cold_model, placement_model
from papayaloom import errors
from papayaloom.platform import documents, headers, settings
from papayaloom.routing import dispatch_messages, replicas
from papayaloom.routing.limits import cold_permits

_HOSTS = [f'host{number}' for number in range(58)]
_RUN_S = 18


@behave.when(
    'a response with {status:d} states "{text}" as the rest of the warm-up'
)
def response_states(context, status, text):
    fields = [
        (b'Papayaloom-Cold-Remaining', text.encode()),
        (b'Papayaloom-Replica-Load', b'1,2,3'),
    ]
    read = headers.PlatformDialect().read_answer(status, fields)
    context.cold_s = read.cold_s
    context.is_rest_read = read.load.running == 1


@behave.when('an entry states "{text}" as the rest of the warm-up')
def entry_states(context, text):
    entry = {'service': 'models', 'address': '10.0.0.1:80', 'state': 'ready'}
    entry['coldRemainingMs'] = json.loads(text)
    read = documents.decode_replica('servers/a', json.dumps(entry).encode())
    context.cold_s = read.cold_s
    context.is_rest_read = read.service == 'models'


@behave.then('the replica is cold for {seconds} s, and the rest is read')
def cold_for(context, seconds):
    expected = None if seconds == 'no' else float(seconds)
    assert context.cold_s == expected, context.cold_s
    assert context.is_rest_read


@behave.when('the operator declares {services} besides a sound service')
def declares(context, services):
    sound = {'name': 'models', 'coldS': 3, 'coldPerS': 8.5}
    table = {'version': 7, 'services': [json.loads(services), sound]}
    context.tables = documents.decode_tables(json.dumps(table).encode())


@behave.then('the version is in force with the sound service alone')
def sound_service(context):
    assert context.tables.version == 7
    found = [msgspec.structs.astuple(one) for one in context.tables.services]
    assert found == [('models', 3, 8.5)], found


@behave.given(
    'the settings have "{over}" as coldOver and "{slack}" as coldSlack'
)
@behave.given('the settings have "" as coldOver and "{slack}" as coldSlack')
def cold_settings(context, slack, over=''):
    fields = {
        'nodeName': 'a',
        'platform.address': '127.0.0.1:1',
        **{
            f'listen.{name}': '127.0.0.1:2'
            for name in ('front', 'ready', 'directory', 'control')
        },
        'bounds.coldOver': over,
        'bounds.coldSlack': slack,
    }
    try:
        context.bound = settings.from_fields(fields).process.placing.warming
    except errors.SettingsError as exc:
        context.refusal = str(exc)


@behave.then('the bound is {most:d} requests at {per_s:g} a second')
def bound_is(context, most, per_s):
    assert context.bound.most(per_s) == most


@behave.then('cold replicas get no care')
def no_care(context):
    assert context.bound is None


@behave.then('the settings are refused, naming {name}')
def refused(context, name):
    assert f'bounds.{name}' in context.refusal, context.refusal


@behave.given(
    '58 routers that know {known} of each other, and {count:d} replicas'
)
def routers(context, known, count):
    rng = random.Random(5)
    share = {'all': 1, 'two thirds': 2 / 3, 'none': 0}[known]
    context.views = [
        [name for name in _HOSTS if rng.random() < share] or None
        for _ in _HOSTS
    ]
    context.count = count


def play(context, names, late_s, *, is_restart, is_burst, restarts=(), at=9):
    context.models = []
    for seed in (1, 2):
        load = placement_model.Load(
            3.8 * context.count,
            2,
            {f'p{number}': 1 for number in range(100)},
            slots=16,
            objective_s=0.4,
            first_event_s=0.3,
            burst=placement_model.Burst(8, _RUN_S, 8 if is_burst else 1),
        )
        model = cold_model.ColdModel(context.views, context.count, load, seed)
        cool = model.cool
        model.plan(
            at, lambda now: cool(now, names, late_s, is_restart=is_restart)
        )
        if restarts:
            model.plan(9, model.restart_routers, restarts)
        model.run(at + 9 if names else 12)
        context.models.append(model)
    context.model = model


@behave.when('{who} restart {when}, heard at once')
def restart(context, who, when):
    numbers = range(2 if who.startswith('2') else context.count)
    play(
        context,
        [f'e{number}' for number in numbers],
        0,
        is_restart=True,
        is_burst='burst' in when,
        restarts=range(58) if 'routers' in who else (),
    )


@behave.when(
    '{count:d} replicas turn cold again {when}, heard within {late_s:g} s'
)
def cold_again(context, count, when, late_s):
    names = [f'e{number}' for number in range(count)]
    play(
        context,
        names,
        late_s,
        is_restart=False,
        is_burst='burst' in when,
        at=7.5 if 'before' in when else 9,
    )


@behave.then('none of them gets more than {most:d} requests in a second')
def none_above(context, most):
    found = [one for model in context.models for one in model.peaks()]
    assert max(found) <= most, found


@behave.when('a calm day passes')
def calm_day(context):
    play(context, [], 0, is_restart=False, is_burst=False)


@behave.then('nothing is rejected')
def none_rejected(context):
    found = [model.rejected for model in context.models]
    assert not any(found), found


@behave.then('no cold replica gets more than {most:d} requests in a second')
def within_bound(context, most):
    found = [model.most_in_a_second() for model in context.models]
    assert max(found) <= most, found


@behave.then('cold replicas get at least {per_s:g} requests a second each')
def used(context, per_s):
    found = [model.cold_per_s() for model in context.models]
    assert min(found) >= per_s, found


@behave.given('a router that lists a replica with a rest of {rest:g} s')
def lists(context, rest):
    context.now = 10.0
    context.replica = replicas.Replica(
        replicas.ReplicaId('e0'),
        cold_model.SERVICE,
        ('10.0.0.1', 8000),
        born=5,
        cold_s=rest,
    )
    context.router = cold_model.new_router(1, [context.replica], context.now)


@behave.when('nothing else comes')
def nothing(context):
    """Leave the router as it is."""


@behave.when('it starts again')
def starts_again(context):
    again = msgspec.structs.replace(context.replica, born=6)
    context.router.replicas.update(again, context.now)


@behave.when('its entry says {seconds:g} s')
def entry_says(context, seconds):
    entry = msgspec.structs.replace(context.replica, cold_s=seconds)
    context.router.replicas.update(entry, context.now)


@behave.when('a response says {seconds:g} s')
def response_says(context, seconds):
    context.router.cold.replicas.record_response(
        context.replica, seconds, context.now
    )


@behave.when('a late response of its earlier start says {seconds:g} s')
def late_response(context, seconds):
    context.replica = msgspec.structs.replace(context.replica, born=4)
    response_says(context, seconds)


@behave.when('its process ends during a request')
def process_ends(context):
    context.router.cold.replicas.record_end(context.replica, context.now)


@behave.when('its entry lapses and returns after an outage')
def lapses(context):
    listed = context.router.replicas
    assert listed.remove(context.replica.id, context.now)
    listed.update(context.replica, context.now)


@behave.when('its entry states a malformed rest twice')
def malformed_rest(context):
    entry = msgspec.structs.replace(context.replica, cold_s=None)
    for _ in range(2):
        context.router.replicas.update(entry, context.now)


@behave.then('there is one line for the log, and the replica is warm')
def one_line(context):
    changes = context.router.cold.replicas.pop_changes()
    assert [one.cold_s for one in changes] == [None], changes
    assert not context.router.cold.is_cold(context.replica, context.now)


@behave.when('its zone returns after an evacuation')
def zone_returns(context):
    context.router.evacuations.evacuate('', context.now - 5)
    context.router.evacuations.end('', context.now)


@behave.then('the replica is cold for {seconds:g} s more')
def cold_more(context, seconds):
    known = context.router.replicas.find(context.replica.id)
    cold = context.router.cold
    assert not cold.is_cold(known, context.now + seconds + 0.001)
    if seconds:
        assert cold.is_cold(known, context.now + seconds - 0.001)


@behave.then(
    'in the first second after the warm-up they get less than half of what the '
    'others get, and after {later:d} s as much'
)
def in_steps(context, later):
    def ratio(since, until):
        counts = [
            sum(
                since <= at < until
                for model in context.models
                for at in model.arrivals[f'e{number}']
            )
            for number in range(10)
        ]
        return 4 * sum(counts[:2]) / sum(counts[2:])

    assert ratio(12, 13) < 0.5, ratio(12, 13)
    assert ratio(12 + later, _RUN_S) > 0.5, ratio(12 + later, _RUN_S)


@behave.given('two routers, of which only one knows of services and warm-ups')
def two_routers(context):
    listed = [
        replicas.Replica(
            replicas.ReplicaId(f'e{number}'),
            cold_model.SERVICE,
            ('10.0.0.1', 8000 + number),
            slots=16,
        )
        for number in range(6)
    ]
    cold = [msgspec.structs.replace(one, cold_s=3) for one in listed]
    context.routers = [
        cold_model.new_router(1, listed, 0, cold_per_s=0, bound=None),
        cold_model.new_router(1, cold, 0, bound=None),
    ]


@behave.then('both place {count:d} requests alike')
def alike(context, count):
    for number in range(count):
        request = dispatch_messages.PlacementRequest(
            cold_model.SERVICE, f'p{number % 7}' if number % 2 else ''
        )
        first, second = (
            one.place(request, number / 20) for one in context.routers
        )
        assert first.is_ok() == second.is_ok()
        if first.is_ok():
            assert first.ok_value.replica.id == second.ok_value.replica.id


@behave.given(
    'a router that has been in touch for {touch:g} s, registered: {registered}'
)
def in_touch(context, touch, registered):
    context.permits = cold_permits.ColdPermits(cold_model.BOUND)
    context.fleet = cold_permits.Fleet('a', 'abc', registered == 'yes', 0.5)
    context.now = 10.0
    while context.now <= 10 + touch:
        context.permits.update_fleet(context.fleet, context.now)
        context.now += 1


@behave.when('its newest word of the store is {age:g} s old')
def newest_word(context, age):
    fleet = msgspec.structs.replace(context.fleet, age_s=age)
    context.permits.update_fleet(fleet, context.now)


@behave.then('it has {permits} for cold replicas')
def has_permits(context, permits):
    assert context.permits.has_permits(context.now) == (permits == 'permits')
