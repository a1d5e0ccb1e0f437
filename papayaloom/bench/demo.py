"""The demo: both deployments on loopback, from start to planned stop."""

import pathlib
import signal
import subprocess  # noqa: S404
import sys
import tempfile
import time
import types
import typing
from concurrent import futures

import fire
import msgspec
import urllib3

from papayaloom.bench import client, launcher
from papayaloom.ports import kv
from papayaloom.version import settings_log

_CARE_SHEET = (
    'You advise the keepers of the Kelani Basking Co-operative around Colombo '
    'and Kandy. Keep to the care sheet: leopard geckos need a warm hide of 32 '
    'degrees, bearded dragons a basking spot of 40 degrees and a UV-B tube that '
    'is replaced every six months, ball pythons a warm side of 31 degrees and '
    '55 per cent humidity. Log every bulb swap with the reminder service.'
)
_RITES = (
    'You help the volunteers and clerks of the Tomoshibi Wake Trays Cooperative '
    'in Kyushu. Write plainly and kindly. Trays for Buddhist rites hold no meat, '
    'fish, egg, garlic or onion. Always ask for allergies; buckwheat and peanuts '
    'are the most frequent ones. Orders go through the order desk, once each, '
    'with the household, the temple and the hour of the rite.'
)
_KELANI = launcher.Plan(
    name='kelani',
    network=81,
    region='lk-west',
    zones=('colombo', 'kandy', 'negombo'),
    model='basking-8b',
    service='reminder',
    keys={'gecko-house': 'key-of-gecko-house', 'python-barn': 'key-of-barn'},
    engines=6,
    engine_options=('--token_s=0.01', '--cache_token_bytes=2048'),
)
_TOMOSHIBI = launcher.Plan(
    name='tomoshibi',
    network=82,
    region='kyushu',
    zones=('fukuoka', 'kumamoto', 'kagoshima'),
    model='wake-trays-8b',
    service='order-desk',
    keys={'hakata-temple': 'key-of-hakata', 'aso-hall': 'key-of-aso'},
    engines=5,
    engine_options=('--token_s=0.01', '--cache_token_bytes=2048'),
)


class _Script(msgspec.Struct, frozen=True):
    """What the members of one deployment do."""

    org: str
    chat: str
    system: str
    questions: tuple[str, ...]
    call: str
    body: dict[str, object]


_SCRIPTS = types.MappingProxyType(
    {
        'kelani': _Script(
            'gecko-house',
            'chat-leopard-gecko-terrarium',
            _CARE_SHEET,
            (
                'Why did the schedule of my basking bulb change?',
                'Please summarise the care sheet for a young leopard gecko.',
                'Please tag my question about the lamp schedule.',
            ),
            'reminder/swaps',
            {'bulb': 'UV-B tube 12%', 'enclosure': 'bearded dragon'},
        ),
        'tomoshibi': _Script(
            'hakata-temple',
            'chat-memorial-for-mrs-tanaka',
            _RITES,
            (
                'Draft a memorial menu for twelve; one guest has a peanut '
                'allergy.',
                'Write a short condolence note to the family.',
                'Does sesame tofu agree with the rite?',
            ),
            'order-desk/orders',
            {'trays': 12, 'household': 'Tanaka', 'rite': '10:00'},
        ),
    },
)
_NEW_WEIGHT = 0.8
_STOP_S = 40
_EDIT_S = 20
_http = urllib3.PoolManager(retries=False, timeout=5)


def _say(text: str = '') -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _operator(deployment: launcher.Deployment, *words: str) -> str:
    """Run the operator's command, show it, and return what it printed."""
    _say(f'$ papayaloom {" ".join(words)}')
    done = subprocess.run(  # noqa: S603
        [
            sys.executable,
            '-m',
            'papayaloom.commands.operator',
            *words,
            f'--store={deployment.kv_url}',
            f'--routers={",".join(deployment.router_urls())}',
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    output = (done.stdout + done.stderr).rstrip()
    if done.returncode:
        sys.exit(f'papayaloom failed: {output}')
    return output


def _write_settings(deployment: launcher.Deployment) -> None:
    _say(f'-- {deployment.plan.name}: writing the settings tree')
    for branch, text in deployment.branches().items():
        file = deployment.folder / f'{branch.replace("/", "_")}.json'
        file.write_text(text)
        _say(_operator(deployment, 'edit', branch, str(file)))


def _get(url: str) -> typing.Any:
    return msgspec.json.decode(_http.request('GET', url).data)


def _seen_at(url: str, version: int) -> float:
    """Return when a router has a version, in milliseconds since 1970."""
    until = time.monotonic() + _EDIT_S
    while time.monotonic() < until:
        dump = _get(f'{url}/status/dump')
        if dump['settings']['version'] >= version:
            return time.time() * 1000
        time.sleep(0.005)
    sys.exit(f'version {version} is not in force in time at {url}')


def _wait_for_admission(deployment: launcher.Deployment) -> None:
    """Wait until the owners of all engines have settled."""
    until = time.monotonic() + 20
    while time.monotonic() < until:
        free = 0
        for url in deployment.router_urls():
            models = _get(f'{url}/status/dump')['chats']['models']
            for parts in models.values():
                engines = parts['owner']['engines']
                free += len([one for one in engines if one['free']])
        if free >= deployment.plan.engines:
            return
        time.sleep(0.2)


def _caller(deployment: launcher.Deployment) -> client.Caller:
    key = deployment.plan.keys[_SCRIPTS[deployment.plan.name].org]
    return client.Caller(deployment.locator_urls(), key)


def _chat(deployment: launcher.Deployment) -> None:
    plan = deployment.plan
    script = _SCRIPTS[plan.name]
    caller = _caller(deployment)
    history = [{'role': 'system', 'content': script.system}]
    for question in script.questions:
        history.append({'role': 'user', 'content': question})
        addresses = caller.addresses(script.chat, plan.zones[0])
        body = {'model': plan.model, 'messages': history, 'max_tokens': 60}
        turn = caller.chat(addresses[0], script.chat, body)
        history.append({'role': 'assistant', 'content': turn.text})
        _show_turn(deployment, question, turn)


def _show_turn(
    deployment: launcher.Deployment,
    question: str,
    turn: client.Turn,
) -> None:
    _say(f'\n   > {question}')
    _say(f'   {turn.text}')
    if not turn.finished:
        sys.exit(f'the answer is not whole: {turn.problem}')
    found = _get(f'{turn.router}/status/records/{turn.request}')[0]
    last = found['record']['tries'][-1]
    _say(
        f'   [{turn.request} by {turn.router}, engine {last["upstream"]}: '
        f'{last["reason"]}; {last["cached_tokens"]} prompt tokens from the '
        f'cache; first token after {turn.first_s:.3f} s]',
    )


def _call(deployment: launcher.Deployment) -> None:
    script = _SCRIPTS[deployment.plan.name]
    caller = _caller(deployment)
    path = script.call
    body = script.body
    key = client.call_key()
    first, second = deployment.router_urls()[:2]
    _say(f'\n   a call to {path} with the key {key}, then its repeat:')
    for router in (first, second):
        reply = caller.call(router, path, body, key)
        repeated = ', recorded answer of the first call' * reply.repeated
        _say(
            f'   {router}: {reply.status} {reply.body.decode()} '
            f'(verdict {reply.verdict}{repeated})',
        )
        if reply.status != 200:
            sys.exit('the call failed')


def _edit(deployment: launcher.Deployment) -> None:
    branch = f'models/{deployment.plan.model}'
    _say('\n-- a settings edit, and its delay on every router')
    urls = deployment.router_urls()
    dump = _get(f'{urls[0]}/status/dump')
    version = dump['settings']['version'] + 1
    with futures.ThreadPoolExecutor() as pool:
        seen = [pool.submit(_seen_at, url, version) for url in urls]
        words = ('set', 'placement.reuse_weight', str(_NEW_WEIGHT))
        _say(_operator(deployment, *words, f'--branch={branch}'))
        made = settings_log.read_record(kv.HttpKv(deployment.kv_url), version)
        for url, found in zip(urls, seen, strict=True):
            delay_s = (found.result() - made.at_unix_ms) / 1000
            _say(f'   in force at {url} {delay_s:.3f} s after its commit')
    _say(_operator(deployment, 'fleet', '--wait=10'))
    _say(_operator(deployment, 'get', 'placement.reuse_weight', branch))


def _keep(deployments: list[launcher.Deployment]) -> None:
    kelani = deployments[0]
    url = kelani.router_urls()[0]
    _say('\nThe fleet stays up. Things to try in another terminal:')
    _say(f"  curl '{kelani.locator_url(1)}/v1/address?chat=my-chat'")
    _say(
        f"  curl -N {url}/v1/chat/completions -H 'Authorization: Bearer "
        "key-of-gecko-house' -H 'X-Chat-Id: my-chat' -d "
        '\'{"model": "basking-8b", "stream": true, "messages": [{"role": '
        '"user", "content": "Why did my basking schedule change?"}]}\'',
    )
    _say(
        f"  curl {url}/services/reminder/swaps -H 'Authorization: Bearer "
        f"key-of-gecko-house' -H 'Idempotency-Key: {client.call_key()}' "
        '-H \'X-Repeatable: no\' -d \'{"bulb": "UV-B"}\'',
    )
    routers = ','.join(kelani.router_urls())
    _say(f'  .venv/bin/papayaloom tree --store={kelani.kv_url}')
    _say(
        f'  .venv/bin/papayaloom fleet --store={kelani.kv_url} '
        f'--routers={routers}',
    )
    _say('Ctrl-C stops it.')
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        signal.pause()
    except KeyboardInterrupt:
        _say()


def _stop(deployments: list[launcher.Deployment]) -> None:
    _say('\n-- a planned stop of all routers')
    for deployment in deployments:
        for name in deployment.routers():
            deployment.signal(name, signal.SIGTERM)
    for stopping in deployments:
        took = stopping.stop_routers(_STOP_S)
        for router, seconds in took.items():
            _say(f'   {stopping.plan.name} {router} stopped, {seconds:.1f} s')
        if len(took) < stopping.plan.routers:
            sys.exit('a router did not stop in time')


def demo(*, keep: bool = False) -> None:
    """Run the demo.

    :param keep: stay up before the stop, and print commands to try.
    """
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='papayaloom-') as folder:
        deployments = [
            launcher.Deployment(plan, pathlib.Path(folder))
            for plan in (_KELANI, _TOMOSHIBI)
        ]
        try:
            _run(deployments)
            if keep:
                _keep(deployments)
            _stop(deployments)
        finally:
            for deployment in deployments:
                deployment.stop()
    _say(f'\nThe demo took {time.monotonic() - began:.0f} s.')


def _run(deployments: list[launcher.Deployment]) -> None:
    _say('-- starting the stand-ins of the platform')
    for one in deployments:
        one.start_platform()
    with futures.ThreadPoolExecutor() as pool:
        list(pool.map(_write_settings, deployments))
    _say('\n-- starting routers and locators')
    for starting in deployments:
        starting.start_fleet()
    for deployment in deployments:
        _wait_for_admission(deployment)
        _say(f'\n-- {deployment.plan.name}: chats and calls')
        _chat(deployment)
        _call(deployment)
        _edit(deployment)
    _say('\n-- the state dump of a router')
    url = deployments[0].router_urls()[0]
    _say(_operator(deployments[0], 'dump', url))


if __name__ == '__main__':
    fire.Fire(demo)
