import threading

import behave

from papayaloom import clock, errors
from papayaloom.ports import hosts, service, weights
from papayaloom.standins import hosts as host_list
from papayaloom.standins import service as services
from papayaloom.standins import weights as weight_store


def serve(context, server):
    threading.Thread(target=server.serve, daemon=True).start()
    context.add_cleanup(server.stop)
    return 'http://127.0.0.1:{}'.format(server.bind_addr[1])


@behave.given('a host list over HTTP that lags by {lag:d} seconds')
def lagging_list(context, lag):
    context.clock = clock.VirtualClock()
    context.directory = host_list.HostDirectory(context.clock, lag)
    server = host_list.server(context.directory, '127.0.0.1:0')
    context.adapter = hosts.HttpHosts(serve(context, server))


@behave.when('a host is added')
def add_host(context):
    context.host = hosts.Host(
        'h1', hosts.Kind.ENGINE, 'http://x', 'z1', 'lk-west', 'gecko'
    )
    context.directory.put(context.host)


@behave.then('the adapter reads no host before the lag has passed')
def before_lag(context):
    context.clock.advance(1.9)
    assert context.adapter.read().hosts == ()


@behave.then('it reads the host afterwards, and nothing when it asks again')
def after_lag(context):
    context.clock.advance(0.1)
    listed = context.adapter.read()
    assert listed.hosts == (context.host,)
    assert context.adapter.read(listed.etag) is None


@behave.when('the host list drops its answers')
def drop_answers(context):
    context.directory.faults.drop_after = -1


@behave.then('the adapter reports that there was no answer')
def no_answer(context):
    try:
        context.adapter.read()
    except errors.UpstreamError:
        return
    raise AssertionError('a dropped answer was read')


@behave.given(
    'a weight store over HTTP with one version of {size:d} bytes'
    ' at {rate:d} bytes/s',
)
def one_version(context, size, rate):
    context.store = weight_store.WeightStore(
        clock.VirtualClock(), {'gecko/2': size}, rate
    )
    server = weight_store.server(context.store, '127.0.0.1:0')
    context.adapter = weights.HttpWeights(serve(context, server))


@behave.then('the adapter reads its manifest and knows no other version')
def manifest(context):
    found = context.adapter.manifest('gecko', '2')
    assert found == weights.Manifest('gecko', '2', 100, 10)
    assert context.adapter.manifest('gecko', '3') is None


@behave.then(
    'two fetches at the same time end after {first:d} and {second:d} seconds',
)
def fetches(context, first, second):
    ends = [context.store.fetch('gecko', '2') for _ in range(2)]
    assert ends == [first, second]


@behave.given(
    'a service that loses its first answer, with key checks {checks}',
)
def losing_service(context, checks):
    context.log = services.EffectLog()
    context.replica = services.Replica(
        'desk-1', 'desk', context.log, checks_keys=checks == 'on'
    )
    context.replica.faults.drop_after = 1


@behave.when('a call with a key is sent again after the loss')
def send_again(context):
    call = service.Call('POST', '/orders', {'Idempotency-Key': 'k'}, b'tray')
    try:
        context.replica.call(call)
    except errors.UpstreamError as exc:
        assert exc.verdict is errors.Verdict.MAY_HAVE_RUN
    else:
        raise AssertionError('the lost answer arrived')
    context.replica.call(call)


@behave.then('the service has {count:d} effects')
def effects(context, count):
    assert len(context.log.by_key['k']) == count
