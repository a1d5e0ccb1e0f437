import json

import behave

from features import fake_engine, router

CALL_KEY = '0190163d-8694-739b-aea5-966c26f8ad91'
PATH = '/services/reminder/swaps?pen=7'


def add_replica(context, script):
    replica = fake_engine.FakeEngine(script)
    context.replicas = [*getattr(context, 'replicas', []), replica]
    context.add_cleanup(replica.close)


def call(context, path=PATH, method='POST', key=router.KEY, **headers):
    if not hasattr(context, 'router'):
        urls = [replica.url for replica in context.replicas]
        context.router = router.Router(replicas=urls)
        context.add_cleanup(context.router.stop)
    context.answer = context.router.ask(
        method, path, b'{"pen":7}', key=key, **headers
    )


def works(engine, conn, method, path, headers, body):
    content = b'{"logged":true}'
    conn.sendall(
        fake_engine.head(kind='application/json', length=len(content)) + content
    )
    return True


def half_head(engine, conn, method, path, headers, body):
    conn.sendall(b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n')
    return False


def malformed(engine, conn, method, path, headers, body):
    conn.sendall(b'HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\n{}')
    return False


@behave.given('a replica that {behaviour}')
def a_replica(context, behaviour):
    scripts = {
        'works': works,
        'breaks the connection after the request': lambda *_: False,
        'stops in the middle of its head': half_head,
        'answers with a blank in the name of a field': malformed,
        'does not listen': None,
        'refuses with "not run"': fake_engine.problem('503 Busy', 'not run'),
    }
    add_replica(context, scripts[behaviour])
    if behaviour == 'does not listen':
        context.replicas[-1].close()


@behave.when('a caller sends a call that must not be repeated')
@behave.when('the caller sends it again')
def send_once(context):
    call(context, Idempotency_Key=CALL_KEY, X_Repeatable='no')


@behave.when('a caller of another organisation sends it too')
def send_other(context):
    call(context, key='other-key', Idempotency_Key=CALL_KEY)
    assert context.answer.status == 200


@behave.when('a caller sends a call that may be repeated')
def send_repeatable(context):
    call(context, X_Repeatable='yes')


@behave.when('a caller calls the path "{path}"')
def call_path(context, path):
    call(context, '/services/reminder/x', 'GET')
    context.replicas[0].requests.clear()
    host = context.router.url.removeprefix('http://')
    raw = fake_engine.get(host, f'/services/reminder{path}', router.KEY)
    context.answer = raw


@behave.then('the caller gets status {status:d} and the verdict "{verdict}"')
def gets(context, status, verdict):
    answer = context.answer
    assert answer.status == status, (answer.status, answer.data)
    assert answer.headers['X-Verdict'] == verdict
    if status != 200:
        assert json.loads(answer.data)['verdict'] == verdict
    else:
        assert answer.data == b'{"logged":true}'


@behave.then('the replicas received {count:d} call')
@behave.then('the replicas received {count:d} calls')
def received(context, count):
    found = sum(len(replica.requests) for replica in context.replicas)
    assert found == count, found


@behave.then('the key is free')
def key_free(context):
    assert not context.router.desk.claims


@behave.then(
    'the replica saw the organisation, the idempotency key and no bearer key'
)
def replica_saw(context):
    method, path, headers, body = context.replicas[0].requests[0]
    assert (method, path, body) == ('POST', '/swaps?pen=7', b'{"pen":7}')
    assert headers['x-organisation'] == 'gecko-house'
    assert headers['idempotency-key'] == CALL_KEY
    assert 'authorization' not in headers
