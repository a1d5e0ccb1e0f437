"""Minimal engine for tests of the request path; a script per request."""

import contextlib
import http.client
import json
import socket
import threading
import time


_UPLOAD_BYTES = 1_000_000


def event(request, offset, text='', finish=None):
    choice = {
        'index': 0,
        'delta': {'content': text},
        'finish_reason': finish,
    }
    body = {'id': request, 'offset': offset, 'choices': [choice]}
    return f'data: {json.dumps(body)}\n\n'.encode()


class FakeEngine:
    """Serves HTTP on a loopback port; ``script`` writes the answer.

    The script gets this engine, the connection, method, path, headers and
    body. It returns whether the connection stays open.

    An engine that reads no uploads leaves long bodies unread, and lets few
    bytes of them wait at its socket.
    """

    def __init__(self, script, reads_uploads=True):
        self.script = script
        self.requests = []
        self.connections = 0
        self._reads_uploads = reads_uploads
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        if not reads_uploads:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.url = 'http://127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        # Without the shutdown a blocked accept() would go on listening.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn):
        with conn, conn.makefile('rb') as reader:
            while True:
                try:
                    line = reader.readline()
                    if not line:
                        return
                    method, path, _ = line.decode().split(' ', 2)
                    headers = {}
                    while (line := reader.readline().strip()) != b'':
                        name, _, content = line.decode().partition(': ')
                        headers[name.lower()] = content
                    body = b''
                    length = int(headers.get('content-length', 0))
                    if self._reads_uploads or length < _UPLOAD_BYTES:
                        body = reader.read(length)
                    self.requests.append((method, path, headers, body))
                    if not self.script(self, conn, method, path, headers, body):
                        return
                except (OSError, ValueError):
                    return


def head(status='200 OK', kind='text/event-stream', length=None):
    framing = (
        'Transfer-Encoding: chunked'
        if length is None
        else f'Content-Length: {length}'
    )
    return f'HTTP/1.1 {status}\r\nContent-Type: {kind}\r\n{framing}\r\n\r\n'.encode()


def chunk(content):
    return b'%x\r\n%b\r\n' % (len(content), content)


def stream(tokens, pause_s=0, stop_at=None, end=b'0\r\n\r\n'):
    """Return a script that streams tokens, and breaks before ``stop_at``."""

    def script(engine, conn, method, path, headers, body):
        if method != 'POST':
            conn.sendall(b'HTTP/1.1 204 No Content\r\n\r\n')
            return True
        request = headers['x-request-id']
        conn.sendall(head())
        for offset in range(int(headers['x-resume-offset']), len(tokens)):
            if offset == stop_at:
                return False
            conn.sendall(chunk(event(request, offset, tokens[offset])))
            if pause_s:
                time.sleep(pause_s)
        conn.sendall(
            chunk(
                event(request, len(tokens), finish='stop') + b'data: [DONE]\n\n'
            )
            + end
        )
        return True

    return script


def problem(status, verdict, kind='about:blank'):
    """Return a script that refuses every request."""

    def script(engine, conn, method, path, headers, body):
        content = json.dumps(
            {'title': 'refused', 'type': kind, 'verdict': verdict}
        ).encode()
        conn.sendall(
            head(status, 'application/problem+json', len(content)) + content
        )
        return True

    return script


def get(host, path, key):
    """Send a GET whose path the client library does not normalise."""
    conn = http.client.HTTPConnection(host, timeout=20)
    conn.request('GET', path, headers={'Authorization': f'Bearer {key}'})
    answer = conn.getresponse()
    answer.data = answer.read()
    return answer
