"""Client of a fleet: address lookup, streamed chats and service calls."""

import os
import time
import typing
import uuid

import msgspec
import urllib3

_MAX_CONNECTIONS = 32
_UUID_VERSION = 7


class ChatResult(msgspec.Struct):
    """Result of a chat request.

    :param finished: whether the stream ended with a finish reason and
        ``[DONE]``.
    :param offsets: token offsets in order of arrival.
    :param first_token_s: time to the first event, in seconds.
    """

    request_id: str
    router: str
    status: int
    text: str = ''
    finished: bool = False
    verdict: str = ''
    settings_version: str = ''
    problem: dict[str, typing.Any] | None = None
    offsets: list[int] = []
    first_token_s: float = 0
    duration_s: float = 0


class CallResult(msgspec.Struct, frozen=True):
    """Result of a service call."""

    router: str
    status: int
    verdict: str
    body: bytes
    repeated: bool


class Client:
    """Client that acts for one organisation.

    :param locator_urls: base URLs of the locators on all entry hosts.
    """

    def __init__(self, locator_urls: list[str], api_key: str) -> None:
        """Create the client without opening a connection."""
        self._locator_urls = locator_urls
        self._api_key = api_key
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=1, read=30),
            maxsize=_MAX_CONNECTIONS,
        )

    def addresses(self, chat_id: str = '', zone: str = '') -> list[str]:
        """Return router URLs from the first locator that answers, best first."""
        for url in self._locator_urls:
            try:
                response = self._pool.request(
                    'GET',
                    f'{url}/v1/address',
                    fields={'chat': chat_id, 'zone': zone},
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                answer = msgspec.json.decode(response.data)
                return [entry['url'] for entry in answer['addresses']]
        return []

    def chat(
        self,
        router: str,
        chat_id: str,
        body: dict[str, typing.Any],
        on_token: typing.Callable[[str], object] = str,
        **headers: str,
    ) -> ChatResult:
        """Send one chat request through a router and stream the answer."""
        request_id = f'turn-{uuid.uuid4().hex[:12]}'
        result = ChatResult(request_id, router, 0)
        started = time.monotonic()
        try:
            self._stream_chat(result, chat_id, body, on_token, headers)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            result.problem = {'title': f'connection: {type(exc).__name__}'}
        result.duration_s = time.monotonic() - started
        return result

    def call(
        self,
        router: str,
        path: str,
        body: object,
        idempotency_key: str,
    ) -> CallResult:
        """Make a service call that must take effect at most once.

        :raises urllib3.exceptions.HTTPError: no response was received.
        """
        response = self._pool.request(
            'POST',
            f'{router}/services/{path}',
            body=msgspec.json.encode(body),
            headers={
                'Authorization': f'Bearer {self._api_key}',
                'Idempotency-Key': idempotency_key,
                'X-Repeatable': 'no',
                'Content-Type': 'application/json',
            },
        )
        return CallResult(
            router,
            response.status,
            response.headers.get('X-Verdict', ''),
            response.data,
            response.headers.get('X-Repeated') == 'yes',
        )

    def _stream_chat(
        self,
        result: ChatResult,
        chat_id: str,
        body: dict[str, typing.Any],
        on_token: typing.Callable[[str], object],
        headers: dict[str, str],
    ) -> None:
        started = time.monotonic()
        response = self._pool.request(
            'POST',
            f'{result.router}/v1/chat/completions',
            body=msgspec.json.encode({**body, 'stream': True}),
            headers={
                'Authorization': f'Bearer {self._api_key}',
                'X-Chat-Id': chat_id,
                'X-Request-Id': result.request_id,
                **headers,
            },
            preload_content=False,
        )
        result.status = response.status
        result.verdict = response.headers.get('X-Verdict', '')
        result.settings_version = response.headers.get('X-Settings-Version', '')
        if response.status != 200:
            result.problem = msgspec.json.decode(response.data)
            return
        has_finish_reason = False
        for line in _iter_lines(response):
            if line == b'data: [DONE]':
                result.finished = has_finish_reason
            elif line.startswith(b'data: '):
                result.first_token_s = (
                    result.first_token_s or time.monotonic() - started
                )
                has_finish_reason = (
                    self._handle_event(result, line[6:], on_token)
                    or has_finish_reason
                )
        response.release_conn()

    def _handle_event(
        self,
        result: ChatResult,
        content: bytes,
        on_token: typing.Callable[[str], object],
    ) -> bool:
        """Process one event; return whether it has a finish reason."""
        event = msgspec.json.decode(content)
        if 'choices' not in event:
            result.problem = event
            return False
        choice = event['choices'][0]
        token = choice['delta'].get('content', '')
        if token:
            result.offsets.append(event['offset'])
            result.text += token
            on_token(token)
        return choice['finish_reason'] is not None


def new_idempotency_key() -> str:
    """Return a new idempotency key, a UUID of version 7."""
    content = bytearray(
        (time.time_ns() // 1_000_000).to_bytes(6, 'big') + os.urandom(10),
    )
    content[6] = (_UUID_VERSION << 4) | (content[6] & 0b1111)
    content[8] = 0b10000000 | (content[8] & 0b111111)
    return str(uuid.UUID(bytes=bytes(content)))


def _iter_lines(response: urllib3.BaseHTTPResponse) -> typing.Iterator[bytes]:
    remainder = b''
    for chunk in response.stream(65536):
        *complete_lines, remainder = (remainder + chunk).split(b'\n')
        yield from complete_lines
