import contextlib
import io
import json
import pathlib
import shlex
import sys
import tempfile
import threading
from unittest import mock

import behave
from cheroot import wsgi

from papayaloom.commands import operator


class Router:
    """Answers the status resources with what a scenario says."""

    def __init__(self, name):
        self.name = name
        self.versions = [0]
        self.records = {}
        self.server = wsgi.Server(('127.0.0.1', 0), self, numthreads=2)
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        self.url = 'http://127.0.0.1:{}'.format(self.server.bind_addr[1])

    def __call__(self, environ, start):
        path = environ['PATH_INFO']
        status, content = '200 OK', self.records.get(path.split('/')[-1])
        if path == '/status/dump':
            version = self.versions[0]
            if len(self.versions) > 1:
                self.versions.pop(0)
            settings = {'version': version, 'digest': 'd', 'source': 'store'}
            content = {'router': self.name, 'settings': settings, 'more': 1}
        elif content is None:
            status = '404 Not Found'
        body = json.dumps(content).encode()
        start(status, [('Content-Length', str(len(body)))])
        return [body]


@behave.given('the operator uses it and {count:d} routers')
def operator_uses(context, count):
    context.routers = [Router(f'router-{n + 1}') for n in range(count)]
    for router in context.routers:
        context.add_cleanup(router.server.stop)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    urls = ', '.join(f"'{router.url}'" for router in context.routers)
    context.fleet_file = context.folder / 'fleet.json5'
    context.fleet_file.write_text(
        f"{{store: '{context.kv.url}', // trial\nrouters: [{urls}]}}"
    )


def run(context, command):
    command = command.replace('\\"', '"')
    argv = shlex.split(command.replace('FILE', str(context.folder / 'file')))
    environ = {'PAPAYALOOM_CONFIG': str(context.fleet_file), 'LOGNAME': 'ama'}
    context.output, context.complaint = io.StringIO(), io.StringIO()
    context.exit_status = 0
    with (
        mock.patch.object(sys, 'argv', ['papayaloom', *argv]),
        mock.patch.dict('os.environ', environ),
        contextlib.redirect_stdout(context.output),
        contextlib.redirect_stderr(context.complaint),
    ):
        try:
            operator.main()
        except SystemExit as exc:
            context.exit_status = exc.code
    context.output = context.output.getvalue()
    context.complaint = context.complaint.getvalue()


@behave.given('the operator ran "{command}"')
def ran(context, command):
    run(context, command)


@behave.when('the operator runs "{command}"')
def runs(context, command):
    run(context, command)


@behave.given('the document of "{branch}" in a file is')
def document_file(context, branch):
    (context.folder / 'file').write_text(context.text + '\n')


@behave.given('the operator keeps the text of "{branch}" in a file')
def keep_text(context, branch):
    run(context, f'text {branch}')
    (context.folder / 'file').write_text(context.output)


@behave.given('router 1 has version {one:d} and router 2 has version {two:d}')
def versions(context, one, two):
    context.routers[0].versions = [one]
    context.routers[1].versions = [two]


@behave.given('router 2 gets version {version:d} after {dumps:d} dumps')
def gets_version(context, version, dumps):
    context.routers[1].versions = [0] * dumps + [version]


@behave.given('router {number:d} is down')
def router_down(context, number):
    context.routers[number - 1].server.stop()


@behave.given('router 2 has a record of "{request}" with the line "{line}"')
def has_record(context, request, line):
    entry = {'record': {'request_id': request}, 'explanation': [line]}
    context.routers[1].records[request] = [entry]


def check_status(context, status):
    found = (context.exit_status, context.output, context.complaint)
    assert context.exit_status == status, found
    assert 'Traceback' not in context.complaint, found


@behave.then('it ends with status {status:d} and says "{sentence}"')
def says(context, status, sentence):
    check_status(context, status)
    assert sentence in context.complaint, context.complaint


@behave.then('it says "{sentence}')
def says_too(context, sentence):
    assert sentence.strip('"') in context.complaint, context.complaint


@behave.then('it ends with status {status:d} and prints "{text}"')
def prints(context, status, text):
    check_status(context, status)
    assert text in context.output, context.output


@behave.then('it ends with status {status:d} and prints')
def prints_exactly(context, status):
    check_status(context, status)
    assert context.output == context.text + '\n', context.output


@behave.then('it ends with status {status:d} and prints JSON')
def prints_json(context, status):
    check_status(context, status)
    assert json.loads(context.output)


@behave.then('the output names router 2 in a line with "{note}"')
def names_router(context, note):
    url = context.routers[1].url
    lines = context.output.splitlines()
    assert any(url in line and note in line for line in lines), lines


@behave.then('the output does not hold "{secret}"')
def no_secret(context, secret):
    assert secret not in context.output + context.complaint
