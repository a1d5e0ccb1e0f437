import behave

from papayaloom import ids
from papayaloom.routing import dispatch_messages, replicas
from papayaloom.routing.health import ejection

SERVICE = ids.ServiceId('pool')


def place(context, kind, tried=()):
    """Place a request; the first attempt has tried no replica."""
    request = dispatch_messages.PlacementRequest(
        SERVICE,
        tried=frozenset(tried),
        is_retry=bool(tried),
        fingerprint=ids.Fingerprint(kind),
    )
    return context.routers[0].place(request, context.now)


def end(context, name, kind, **outcome):
    ejected = context.routers[0].ended(
        dispatch_messages.AttemptResult(
            SERVICE,
            replicas.ReplicaId(name),
            fingerprint=ids.Fingerprint(kind),
            **outcome,
        ),
        context.now,
    )
    context.ejected = getattr(context, 'ejected', []) + ejected


def fail(context, name, kind):
    end(context, name, kind, is_failure=True, is_error_response=True)


def succeed(context, name, kind):
    end(context, name, kind, is_failure=False, is_success=True)


@behave.when(
    '{count:d} requests of {kinds:d} kinds fail at whichever replica runs them'
)
def fail_everywhere(context, count, kinds):
    for number in range(count):
        kind = f'kind {number % kinds}'
        tried = []
        while len(tried) < 2:
            placed = place(context, kind, tried)
            if placed.is_err():
                break
            tried.append(placed.ok_value.replica.id)
            fail(context, tried[-1], kind)
        context.now += 1


@behave.when('one replica fails {count:d} requests that another one answers')
def one_fails(context, count):
    context.bad, good = context.names[:2]
    place(context, 'first')
    for number in range(count):
        fail(context, context.bad, f'kind {number}')
        succeed(context, good, f'kind {number}')


@behave.when('one replica breaks {count:d} connections')
def one_breaks(context, count):
    context.bad = context.names[0]
    place(context, 'first')
    for number in range(count):
        end(context, context.bad, f'kind {number}', is_failure=True)


@behave.when('such a request succeeds')
def succeeds(context):
    succeed(context, context.names[0], 'kind 0')


@behave.then('no replica is ejected')
def none_ejected(context):
    assert not context.ejected, context.ejected


@behave.then('that replica alone is ejected')
def one_ejected(context):
    assert context.ejected == [context.bad], context.ejected
    dumped = context.routers[0].dump(context.now)['ejections'][SERVICE]
    assert dumped[context.bad][0] == ejection.Status.EJECTED.value, dumped


@behave.then(
    'a request that has failed so is not sent to a second replica any more'
)
def given_up(context):
    first = place(context, 'kind 0').ok_value.replica.id
    problem = place(context, 'kind 0', [first]).err_value
    assert 'every replica' in problem.title, problem


@behave.then('another request still is')
def other_retried(context):
    assert place(context, 'another', context.names[:1]).is_ok()


@behave.then('a request that has failed so is sent to a second replica')
def retried(context):
    assert place(context, 'kind 0', context.names[:1]).is_ok()
