"""A caller of the fleet: asks for an address, chats, calls services."""

import os
import time
import typing
import uuid

import msgspec
import urllib3

_CONNECTIONS = 32
_UUID_VERSION = 7


class Turn(msgspec.Struct):
    """Outcome of a chat request.

    :param finished: the stream ended with a finish reason and ``[DONE]``.
    :param offsets: offsets of the tokens, in the order of arrival.
    """

    request: str
    router: str
    status: int
    text: str = ''
    finished: bool = False
    verdict: str = ''
    version: str = ''
    problem: dict[str, typing.Any] | None = None
    offsets: list[int] = []
    first_s: float = 0
    seconds: float = 0


class Reply(msgspec.Struct, frozen=True):
    """Outcome of a service call."""

    router: str
    status: int
    verdict: str
    body: bytes
    repeated: bool


class Caller:
    """Caller of one organisation.

    :param locators: base URLs of the locators of all entry hosts.
    """

    def __init__(self, locators: list[str], key: str) -> None:
        """Open no connection yet."""
        self._locators = locators
        self._key = key
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=1, read=30),
            maxsize=_CONNECTIONS,
        )

    def addresses(self, chat: str = '', zone: str = '') -> list[str]:
        """Ask any entry host which routers to use, best first."""
        for url in self._locators:
            try:
                reply = self._pool.request(
                    'GET',
                    f'{url}/v1/address',
                    fields={'chat': chat, 'zone': zone},
                )
            except urllib3.exceptions.HTTPError:
                continue
            if reply.status == 200:
                answer = msgspec.json.decode(reply.data)
                return [one['url'] for one in answer['addresses']]
        return []

    def chat(
        self,
        router: str,
        chat: str,
        body: dict[str, typing.Any],
        on_token: typing.Callable[[str], object] = str,
        **headers: str,
    ) -> Turn:
        """Stream one turn of a chat through a router."""
        request = f'turn-{uuid.uuid4().hex[:12]}'
        turn = Turn(request, router, 0)
        began = time.monotonic()
        try:
            self._stream(turn, chat, body, on_token, headers)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            turn.problem = {'title': f'connection: {type(exc).__name__}'}
        turn.seconds = time.monotonic() - began
        return turn

    def call(
        self,
        router: str,
        path: str,
        body: object,
        key: str,
    ) -> Reply:
        """Make a call that must take effect at most once.

        :raises urllib3.exceptions.HTTPError: there was no answer.
        """
        reply = self._pool.request(
            'POST',
            f'{router}/services/{path}',
            body=msgspec.json.encode(body),
            headers={
                'Authorization': f'Bearer {self._key}',
                'Idempotency-Key': key,
                'X-Repeatable': 'no',
                'Content-Type': 'application/json',
            },
        )
        return Reply(
            router,
            reply.status,
            reply.headers.get('X-Verdict', ''),
            reply.data,
            reply.headers.get('X-Repeated') == 'yes',
        )

    def _stream(
        self,
        turn: Turn,
        chat: str,
        body: dict[str, typing.Any],
        on_token: typing.Callable[[str], object],
        headers: dict[str, str],
    ) -> None:
        began = time.monotonic()
        reply = self._pool.request(
            'POST',
            f'{turn.router}/v1/chat/completions',
            body=msgspec.json.encode({**body, 'stream': True}),
            headers={
                'Authorization': f'Bearer {self._key}',
                'X-Chat-Id': chat,
                'X-Request-Id': turn.request,
                **headers,
            },
            preload_content=False,
        )
        turn.status = reply.status
        turn.verdict = reply.headers.get('X-Verdict', '')
        turn.version = reply.headers.get('X-Settings-Version', '')
        if reply.status != 200:
            turn.problem = msgspec.json.decode(reply.data)
            return
        ended = False
        for line in _lines(reply):
            if line == b'data: [DONE]':
                turn.finished = ended
            elif line.startswith(b'data: '):
                turn.first_s = turn.first_s or time.monotonic() - began
                ended = self._event(turn, line[6:], on_token) or ended
        reply.release_conn()

    def _event(
        self,
        turn: Turn,
        content: bytes,
        on_token: typing.Callable[[str], object],
    ) -> bool:
        """Take one event; true when it has the finish reason."""
        event = msgspec.json.decode(content)
        if 'choices' not in event:
            turn.problem = event
            return False
        choice = event['choices'][0]
        token = choice['delta'].get('content', '')
        if token:
            turn.offsets.append(event['offset'])
            turn.text += token
            on_token(token)
        return choice['finish_reason'] is not None


def call_key() -> str:
    """Return a new idempotency key: a UUID of version 7."""
    content = bytearray(
        (time.time_ns() // 1_000_000).to_bytes(6, 'big') + os.urandom(10),
    )
    content[6] = (_UUID_VERSION << 4) | (content[6] & 0b1111)
    content[8] = 0b10000000 | (content[8] & 0b111111)
    return str(uuid.UUID(bytes=bytes(content)))


def _lines(reply: urllib3.BaseHTTPResponse) -> typing.Iterator[bytes]:
    rest = b''
    for chunk in reply.stream(65536):
        *whole, rest = (rest + chunk).split(b'\n')
        yield from whole
