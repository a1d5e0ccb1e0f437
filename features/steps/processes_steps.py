import itertools
import os
import pathlib
import signal
import tempfile
import threading
import time

import behave
import msgspec
import urllib3

from papayaloom.bench import client, launcher
from papayaloom.ports import kv
from papayaloom.version import edit
from papayaloom import clock
import random

# Deployments of processes that run at the same time need networks of their
# own; a process uses its networks in turn.
NETWORKS = itertools.count(0)
HTTP = urllib3.PoolManager(retries=False, timeout=5)
MODEL = 'basking-8b'
KEY = 'key-of-gecko-house'


def get(url):
    return msgspec.json.decode(HTTP.request('GET', url).data)


def eventually(check, timeout_s=25):
    until = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < until, f'{check.__name__} did not come true'
        time.sleep(0.05)


def write_settings(deployment):
    editor = edit.Editor(
        kv.HttpKv(deployment.kv_url),
        'tests',
        clock.SystemClock(),
        random.Random(1),
        time.sleep,
    )
    documents = deployment.settings_documents()
    documents['fleet'] = (
        '{"settings": {"addresses": {"ttl_s": 2}, "stop": {"spread_s": 1},'
        ' "placement": {"settle_s": 1},'
        ' "orders": {"lease_s": 3, "longest_send_s": 0.5, "observe_s": 0.5,'
        ' "send_margin_s": 1, "takeover_wait_s": 5}}}'
    )
    documents[f'models/{MODEL}'] = (
        '{"settings": {"stream": {"idle_s": 1.5, "first_token_s": 3}}}'
    )
    for branch, text in documents.items():
        editor.commit(branch, text, 0)


def admits(deployment):
    free = set()
    for url in deployment.router_urls():
        dump = get(f'{url}/status/dump')
        for parts in dump['chats']['models'].values():
            for engine in parts['owner']['engines']:
                if engine['free']:
                    free.add(engine['engine'])
    return len(free) == deployment.spec.engines


@behave.given(
    'a running deployment of {routers:d} routers, {engines:d} engines and a '
    'reminder service'
)
def running(context, routers, engines):
    number = 90 + (os.getpid() * 8 + next(NETWORKS)) % 150
    spec = launcher.DeploymentSpec(
        name=f'test-{number}',
        network=number,
        region='lk-west',
        zones=('colombo', 'kandy', 'negombo'),
        model=MODEL,
        service='reminder',
        keys={'gecko-house': KEY},
        routers=routers,
        engines=engines,
        replicas=1,
        engine_options=(
            '--token_s=0.02',
            '--cache_token_bytes=64',
            '--load_s=1',
        ),
    )
    folder = tempfile.TemporaryDirectory(prefix='papayaloom-test-')
    context.add_cleanup(folder.cleanup)
    context.deployment = launcher.Deployment(spec, pathlib.Path(folder.name))
    context.add_cleanup(context.deployment.kill_all)
    context.deployment.start_platform()
    write_settings(context.deployment)
    context.deployment.start_fleet()
    context.caller = client.Client(context.deployment.locator_urls(), KEY)

    def all_engines_admit():
        return admits(context.deployment)

    eventually(all_engines_admit)


def body(tokens):
    # Words without a canned answer, so that the text depends on the offset.
    question = {'role': 'user', 'content': 'Say something long, please.'}
    return {'model': MODEL, 'messages': [question], 'max_tokens': tokens}


def whole(turn, tokens):
    assert turn.problem is None, turn.problem
    assert turn.finished, turn
    assert turn.offsets == list(range(tokens)), turn.offsets


def run_chat(context, chat, tokens, half=None):
    def on_token(_token):
        context.seen += 1
        if context.seen >= tokens // 2 and half is not None:
            half.set()

    context.seen = 0
    router = context.caller.addresses(chat)[0]
    context.router = router
    context.turn = context.caller.chat(router, chat, body(tokens), on_token)


@behave.given('a chat of {tokens:d} tokens is half way')
def half_way(context, tokens):
    context.tokens = tokens
    half = threading.Event()
    context.thread = threading.Thread(
        target=run_chat, args=(context, 'chat-1', tokens, half)
    )
    context.thread.start()
    assert half.wait(20)
    running_at = [
        f'engine-{number}'
        for number in range(1, context.deployment.spec.engines + 1)
        if get(f'{context.deployment.engine_url(number)}/v1/state')['running']
    ]
    assert len(running_at) == 1, running_at
    context.engine = running_at[0]
    context.router_name = next(
        name
        for name in context.deployment.router_names()
        if context.deployment.router_url(name) == context.router
    )


@behave.when('its engine is killed')
def kill_engine(context):
    context.deployment.kill(context.engine)


@behave.when('its engine is paused')
def pause_engine(context):
    context.deployment.signal(context.engine, signal.SIGSTOP)


@behave.then('the engine is continued')
def continue_engine(context):
    context.deployment.signal(context.engine, signal.SIGCONT)


@behave.when('its router is killed')
def kill_router(context):
    context.deployment.kill(context.router_name)


@behave.when('its router is told to stop')
def stop_router(context):
    context.deployment.signal(context.router_name, signal.SIGTERM)


@behave.then('the router ends by itself')
def router_ends(context):
    process = context.deployment.processes[context.router_name]
    assert process.wait(30) == 0


@behave.then('the member gets the whole answer')
def whole_answer(context):
    context.thread.join(40)
    whole(context.turn, context.tokens)
    undisturbed = context.caller.chat(
        next(url for url in context.caller.addresses('chat-2')),
        'chat-2',
        body(context.tokens),
    )
    whole(undisturbed, context.tokens)
    assert context.turn.text == undisturbed.text


@behave.then("the caller's answer is not marked as finished")
def not_finished(context):
    context.thread.join(40)
    assert not context.turn.finished
    assert context.turn.problem is not None


@behave.then('the same turn through the next address gets the whole answer')
def next_address(context):
    others = [
        url
        for url in context.caller.addresses('chat-1')
        if url != context.router
    ]
    turn = context.caller.chat(others[0], 'chat-1', body(context.tokens))
    whole(turn, context.tokens)


@behave.given('the reminder service drops its next answer after the effect')
def drop_after(context):
    spec = context.deployment.spec
    reply = HTTP.request(
        'PUT',
        f'http://127.{spec.network}.2.1:9000/faults',
        body=b'{"drop_after": 1}',
    )
    assert reply.status == 200, reply.data


def log_swap(context, router):
    context.reply = context.caller.call(
        context.deployment.router_url(router),
        'reminder/swaps',
        {'bulb': 'UV-B'},
        context.key,
    )


@behave.when('a swap is logged with a key through {router}')
def swap(context, router):
    context.key = client.new_idempotency_key()
    log_swap(context, router)


@behave.when('the same swap is logged again through {router}')
def swap_again(context, router):
    log_swap(context, router)


@behave.then('the verdict is "{verdict}"')
def has_verdict(context, verdict):
    assert context.reply.verdict == verdict, context.reply


@behave.then('the service counts {count:d} effect')
@behave.then('the service counts {count:d} effects')
def effects(context, count):
    spec = context.deployment.spec
    found = get(f'http://127.{spec.network}.2.1:9000/log')['log']
    assert len(found) == count, found


@behave.given('the key-value service is killed')
def kill_kv(context):
    context.deployment.kill('kv')


@behave.then('a chat of {tokens:d} tokens gets its whole answer')
def chat_goes_on(context, tokens):
    run_chat(context, 'chat-3', tokens)
    whole(context.turn, tokens)


@behave.when('all routers are restarted one after the other while chats run')
def rolling_restart(context):
    context.turns = []
    ending = threading.Event()

    def keep_chatting(chat):
        while not ending.is_set():
            for url in context.caller.addresses(chat):
                turn = context.caller.chat(url, chat, body(40))
                # A host that refuses the connection did not get the request;
                # the caller goes on to the next address of the answer.
                if turn.status:
                    context.turns.append(turn)
                    break

    threads = [
        threading.Thread(target=keep_chatting, args=(f'chat-{number}',))
        for number in range(3)
    ]
    for thread in threads:
        thread.start()
    for name in context.deployment.router_names():
        context.deployment.signal(name, signal.SIGTERM)
        context.deployment.processes[name].wait(40)
        context.deployment.start_router(name)
        launcher.wait_for(context.deployment.router_url(name))
    ending.set()
    for finished in threads:
        finished.join(40)


@behave.then('every chat got its whole answer')
def all_whole(context):
    assert len(context.turns) > 6, len(context.turns)
    for turn in context.turns:
        whole(turn, 40)


@behave.then('another router can explain the request')
def explained(context):
    def record_handed_over():
        return any(
            HTTP.request(
                'GET', f'{url}/status/records/{context.turn.request_id}'
            ).status
            == 200
            for url in context.deployment.router_urls()
            if url != context.router
        )

    eventually(record_handed_over, 5)


@behave.given('an orderer on every entry host')
def start_orderers(context):
    deployment = context.deployment
    for number in range(1, deployment.spec.routers + 1):
        deployment.start(
            f'orderer-{number}',
            'orderer',
            f'--settings={deployment.directory}/orderer-{number}.json',
        )


@behave.when('model.version is set to "{version}"')
def set_version(context, version):
    editor = edit.Editor(
        kv.HttpKv(context.deployment.kv_url),
        'tests',
        clock.SystemClock(),
        random.Random(2),
        time.sleep,
    )
    branch = f'models/{MODEL}'
    base = editor.read().snapshot.branches[branch].version
    text = (
        '{"settings": {"model": {"replicas": 3, "version": "%s"},'
        ' "stream": {"idle_s": 1.5, "first_token_s": 3}}}'
    )
    editor.commit(branch, text % version, base)


@behave.then('every engine has version "{version}" and runs no order twice')
def has_version(context, version):
    engines = range(1, context.deployment.spec.engines + 1)
    urls = [context.deployment.engine_url(number) for number in engines]

    def all_have_version():
        states = [get(f'{url}/v1/state') for url in urls]
        return all(
            state['version'] == version and state['role'] == 'serve'
            for state in states
        )

    eventually(all_have_version, 60)


@behave.when('the process of the {part} is killed')
def kill_part(context, part):
    context.deployment.kill(part)
