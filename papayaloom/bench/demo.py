"""Demo of two deployments on loopback, from startup to graceful shutdown."""

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

_REPTILE_CARE_PROMPT = (
    'You advise the keepers of the Kelani Basking Co-operative around Colombo '
    'and Kandy. Keep to the care sheet: leopard geckos need a warm hide of 32 '
    'degrees, bearded dragons a basking spot of 40 degrees and a UV-B tube that '
    'is replaced every six months, ball pythons a warm side of 31 degrees and '
    '55 per cent humidity. Log every bulb swap with the reminder service.'
)
_MEMORIAL_MEALS_PROMPT = (
    'You help the volunteers and clerks of the Tomoshibi Wake Trays Cooperative '
    'in Kyushu. Write plainly and kindly. Trays for Buddhist rites hold no meat, '
    'fish, egg, garlic or onion. Always ask for allergies; buckwheat and peanuts '
    'are the most frequent ones. Orders go through the order desk, once each, '
    'with the household, the temple and the hour of the rite.'
)
_KELANI_SPEC = launcher.DeploymentSpec(
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
_TOMOSHIBI_SPEC = launcher.DeploymentSpec(
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


class _DemoScript(msgspec.Struct, frozen=True):
    """Chat and service call that the demo makes in one deployment."""

    org: str
    chat: str
    system: str
    questions: tuple[str, ...]
    service_path: str
    service_body: dict[str, object]


_SCRIPTS = types.MappingProxyType(
    {
        'kelani': _DemoScript(
            'gecko-house',
            'chat-leopard-gecko-terrarium',
            _REPTILE_CARE_PROMPT,
            (
                'Why did the schedule of my basking bulb change?',
                'Please summarise the care sheet for a young leopard gecko.',
                'Please tag my question about the lamp schedule.',
            ),
            'reminder/swaps',
            {'bulb': 'UV-B tube 12%', 'enclosure': 'bearded dragon'},
        ),
        'tomoshibi': _DemoScript(
            'hakata-temple',
            'chat-memorial-for-mrs-tanaka',
            _MEMORIAL_MEALS_PROMPT,
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
_NEW_REUSE_WEIGHT = 0.8
_STOP_TIMEOUT_S = 40
_EDIT_TIMEOUT_S = 20
_http = urllib3.PoolManager(retries=False, timeout=5)


def _print(text: str = '') -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _run_operator_command(
    deployment: launcher.Deployment, *arguments: str
) -> str:
    """Echo and run an operator command, and return its output."""
    _print(f'$ papayaloom {" ".join(arguments)}')
    completed = subprocess.run(  # noqa: S603
        [
            sys.executable,
            '-m',
            'papayaloom.commands.operator',
            *arguments,
            f'--store={deployment.kv_url}',
            f'--routers={",".join(deployment.router_urls())}',
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    output = (completed.stdout + completed.stderr).rstrip()
    if completed.returncode:
        sys.exit(f'papayaloom failed: {output}')
    return output


def _write_settings(deployment: launcher.Deployment) -> None:
    _print(f'-- {deployment.spec.name}: writing the settings tree')
    for branch, text in deployment.settings_documents().items():
        file = deployment.directory / f'{branch.replace("/", "_")}.json'
        file.write_text(text)
        _print(_run_operator_command(deployment, 'edit', branch, str(file)))


def _get_json(url: str) -> typing.Any:
    return msgspec.json.decode(_http.request('GET', url).data)


def _wait_for_version(url: str, version: int) -> float:
    """Wait for a settings version on a router.

    :returns: when the router had it, in milliseconds since the Unix epoch.
    """
    deadline = time.monotonic() + _EDIT_TIMEOUT_S
    while time.monotonic() < deadline:
        dump = _get_json(f'{url}/status/dump')
        if dump['settings']['version'] >= version:
            return time.time() * 1000
        time.sleep(0.005)
    sys.exit(f'timed out waiting for settings version {version} at {url}')


def _wait_for_admission(deployment: launcher.Deployment) -> None:
    """Wait until the owners of all engines admit requests."""
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        free = 0
        for url in deployment.router_urls():
            models = _get_json(f'{url}/status/dump')['chats']['models']
            for model_state in models.values():
                engines = model_state['owner']['engines']
                free += len([one for one in engines if one['free']])
        if free >= deployment.spec.engines:
            return
        time.sleep(0.2)


def _make_client(deployment: launcher.Deployment) -> client.Client:
    key = deployment.spec.keys[_SCRIPTS[deployment.spec.name].org]
    return client.Client(deployment.locator_urls(), key)


def _run_chat(deployment: launcher.Deployment) -> None:
    spec = deployment.spec
    script = _SCRIPTS[spec.name]
    demo_client = _make_client(deployment)
    history = [{'role': 'system', 'content': script.system}]
    for question in script.questions:
        history.append({'role': 'user', 'content': question})
        addresses = demo_client.addresses(script.chat, spec.zones[0])
        body = {'model': spec.model, 'messages': history, 'max_tokens': 60}
        result = demo_client.chat(addresses[0], script.chat, body)
        history.append({'role': 'assistant', 'content': result.text})
        _print_chat_result(deployment, question, result)


def _print_chat_result(
    deployment: launcher.Deployment,
    question: str,
    result: client.ChatResult,
) -> None:
    _print(f'\n   > {question}')
    _print(f'   {result.text}')
    if not result.finished:
        sys.exit(f'the answer is incomplete: {result.problem}')
    entry = _get_json(f'{result.router}/status/records/{result.request_id}')[0]
    attempt = entry['record']['tries'][-1]
    _print(
        f'   [{result.request_id} by {result.router}, engine '
        f'{attempt["upstream"]}: {attempt["reason"]}; '
        f'{attempt["cached_tokens"]} prompt tokens from the cache; '
        f'first token after {result.first_token_s:.3f} s]',
    )


def _call_service(deployment: launcher.Deployment) -> None:
    script = _SCRIPTS[deployment.spec.name]
    demo_client = _make_client(deployment)
    path = script.service_path
    body = script.service_body
    key = client.new_idempotency_key()
    first, second = deployment.router_urls()[:2]
    _print(f'\n   a call to {path} with the key {key}, and its retry:')
    for router in (first, second):
        reply = demo_client.call(router, path, body, key)
        repeated = ', recorded answer of the first call' * reply.repeated
        _print(
            f'   {router}: {reply.status} {reply.body.decode()} '
            f'(verdict {reply.verdict}{repeated})',
        )
        if reply.status != 200:
            sys.exit('the service call failed')


def _edit_settings(deployment: launcher.Deployment) -> None:
    branch = f'models/{deployment.spec.model}'
    _print('\n-- a settings edit and its propagation delay to every router')
    urls = deployment.router_urls()
    dump = _get_json(f'{urls[0]}/status/dump')
    version = dump['settings']['version'] + 1
    with futures.ThreadPoolExecutor() as pool:
        activations = [
            pool.submit(_wait_for_version, url, version) for url in urls
        ]
        arguments = ('set', 'placement.reuse_weight', str(_NEW_REUSE_WEIGHT))
        _print(
            _run_operator_command(deployment, *arguments, f'--branch={branch}')
        )
        record = settings_log.read_record(kv.HttpKv(deployment.kv_url), version)
        for url, activation in zip(urls, activations, strict=True):
            delay_s = (activation.result() - record.at_unix_ms) / 1000
            _print(f'   in force at {url} {delay_s:.3f} s after its commit')
    _print(_run_operator_command(deployment, 'fleet', '--wait=10'))
    _print(
        _run_operator_command(
            deployment, 'get', 'placement.reuse_weight', branch
        )
    )


def _wait_for_interrupt(deployments: list[launcher.Deployment]) -> None:
    kelani = deployments[0]
    url = kelani.router_urls()[0]
    _print('\nThe fleet keeps running. Commands to try in another terminal:')
    _print(f"  curl '{kelani.locator_url(1)}/v1/address?chat=my-chat'")
    _print(
        f"  curl -N {url}/v1/chat/completions -H 'Authorization: Bearer "
        "key-of-gecko-house' -H 'X-Chat-Id: my-chat' -d "
        '\'{"model": "basking-8b", "stream": true, "messages": [{"role": '
        '"user", "content": "Why did my basking schedule change?"}]}\'',
    )
    _print(
        f"  curl {url}/services/reminder/swaps -H 'Authorization: Bearer "
        f"key-of-gecko-house' -H 'Idempotency-Key: "
        f"{client.new_idempotency_key()}' "
        '-H \'X-Repeatable: no\' -d \'{"bulb": "UV-B"}\'',
    )
    routers = ','.join(kelani.router_urls())
    _print(f'  .venv/bin/papayaloom tree --store={kelani.kv_url}')
    _print(
        f'  .venv/bin/papayaloom fleet --store={kelani.kv_url} '
        f'--routers={routers}',
    )
    _print('Press Ctrl-C to stop it.')
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        signal.pause()
    except KeyboardInterrupt:
        _print()


def _stop_routers(deployments: list[launcher.Deployment]) -> None:
    _print('\n-- graceful shutdown of all routers')
    for deployment in deployments:
        for name in deployment.router_names():
            deployment.signal(name, signal.SIGTERM)
    for stopping in deployments:
        durations_s = stopping.stop_routers(_STOP_TIMEOUT_S)
        for router, seconds in durations_s.items():
            _print(f'   {stopping.spec.name} {router} stopped, {seconds:.1f} s')
        if len(durations_s) < stopping.spec.routers:
            sys.exit('timed out waiting for a router to stop')


def demo(*, keep: bool = False) -> None:
    """Run the demo.

    :param keep: print commands to try and wait for an interrupt before the
        shutdown.
    """
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='papayaloom-') as directory:
        deployments = [
            launcher.Deployment(spec, pathlib.Path(directory))
            for spec in (_KELANI_SPEC, _TOMOSHIBI_SPEC)
        ]
        try:
            _run_scenario(deployments)
            if keep:
                _wait_for_interrupt(deployments)
            _stop_routers(deployments)
        finally:
            for deployment in deployments:
                deployment.kill_all()
    _print(f'\nThe demo took {time.monotonic() - started:.0f} s.')


def _run_scenario(deployments: list[launcher.Deployment]) -> None:
    _print('-- starting the platform stand-ins')
    for deployment in deployments:
        deployment.start_platform()
    with futures.ThreadPoolExecutor() as pool:
        list(pool.map(_write_settings, deployments))
    _print('\n-- starting routers and locators')
    for starting in deployments:
        starting.start_fleet()
    for deployment in deployments:
        _wait_for_admission(deployment)
        _print(f'\n-- {deployment.spec.name}: chats and calls')
        _run_chat(deployment)
        _call_service(deployment)
        _edit_settings(deployment)
    _print('\n-- the state dump of a router')
    url = deployments[0].router_urls()[0]
    _print(_run_operator_command(deployments[0], 'dump', url))


if __name__ == '__main__':
    fire.Fire(demo)
