"""Steps on the preview of a placement."""

import http.client
import random
import urllib.parse

import behave
import msgspec

from features import one_router
from papayaloom import ids
from papayaloom.commands import where
from papayaloom.ports import status
from papayaloom.process import preview_endpoint
from papayaloom.routing import (
    dispatch,
    dispatch_messages,
    placement_preview,
    replicas,
)
from papayaloom.routing.limits import cold_permits
from papayaloom.version import routes

SERVICE = ids.ServiceId('models')
REQUEST = dispatch_messages.PlacementRequest(SERVICE, prefix='sheet')


@behave.given(
    'a router that knows 4 replicas, one draining, one in an evacuated zone and '
    'one unreachable'
)
def four_replicas(context):
    context.router = dispatch.Dispatcher(dispatch.Cfg(), random.Random(5))
    for number in range(4):
        state = replicas.State.READY if number else replicas.State.DRAINING
        one = replicas.Replica(
            replicas.ReplicaId(f'r{number}'),
            SERVICE,
            ('127.0.0.1', 9000 + number),
            zone='b' if number == 1 else 'a',
            state=state,
        )
        context.router.replicas.update(one, 0)
    context.router.evacuations.evacuate('b', 0)
    context.router.ended(
        dispatch_messages.AttemptResult(SERVICE, 'r2', is_unreachable=True), 0
    )


@behave.given('a router with a warm and a cold replica')
def warm_and_cold(context):
    cfg = dispatch.Cfg(warming=cold_permits.Cfg(factor=1.5, slack=5))
    context.router = dispatch.Dispatcher(cfg, random.Random(5))
    context.router.cold.replicas.configure((routes.Service(SERVICE, 3, 8.5),))
    for number, cold_s in enumerate((0, 3)):
        one = replicas.Replica(
            replicas.ReplicaId(f'r{number}'),
            SERVICE,
            ('127.0.0.1', 9000 + number),
            cold_s=cold_s,
        )
        context.router.replicas.update(one, 0)


@behave.then('the preview chooses the warm one, and calls the other cold')
def cold_named(context):
    views = {one.id: one for one in context.preview.replicas}
    assert views['r0'].chosen_share == 1, views
    assert views['r1'].exclusion.startswith('cold'), views


@behave.when('it is asked where a request with a prompt prefix would go')
@behave.when(
    'it is asked {times:d} times where a request with a prompt prefix would go'
)
def asked(context, times=1):
    context.before = context.router.dump(1)
    for _ in range(times):
        context.preview = placement_preview.preview(
            context.router.copy(random.Random(2)), REQUEST, 1, random.Random(3)
        )


@behave.then(
    'the preview chooses the fourth, and says of the others "{draining}", '
    '"{evacuated}" and "{unreachable}"'
)
def previewed(context, draining, evacuated, unreachable):
    views = {one.id: one for one in context.preview.replicas}
    assert views['r3'].chosen_share == 1, views
    told = [views[f'r{number}'].exclusion for number in range(4)]
    assert told == [draining, evacuated, unreachable, ''], told


@behave.then('its state is as before')
def unchanged(context):
    assert context.router.dump(1) == context.before, context.router.dump(1)


@behave.when('an operator asks it where a request would go')
def operator_asks(context):
    address, port = context.router.addresses['control']
    answer = status.Client().where(
        f'http://{address}:{port}',
        {'host': 'a.example', 'path': '/calls/x', 'key': 'k1'},
    )
    found = msgspec.convert(answer.unwrap(), preview_endpoint.Answer)
    context.printed = where.describe(found)


@behave.then('the text names the route, the service and the replica')
def named(context):
    for word in ('/calls/', 'service pool', 'organisation geckos', '100% i-1'):
        assert word in context.printed, context.printed


@behave.then('the replica has received no request')
def none_received(context):
    assert not one_router.requests(context)


@behave.when('an operator\'s program asks "{query}"')
def program_asks(context, query):
    conn = http.client.HTTPConnection(*context.router.addresses['control'])
    conn.request('GET', query)
    response = conn.getresponse()
    context.answered = response.status, response.read().decode()
    conn.close()


@behave.then('it gets {code:d} and "{title}"')
def answered(context, code, title):
    assert context.answered[0] == code, context.answered
    assert title in urllib.parse.unquote(context.answered[1]), context.answered
