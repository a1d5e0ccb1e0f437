"""Requests and responses that RFC 9112 does not allow, and sound odd ones."""

from features import forwarding_router as fleets

HIDDEN = 'hidden'


def head(*fields, line='POST /orders/x HTTP/1.1', host='Host: a.example'):
    """Return the head of a request on its own connection."""
    lines = [
        line,
        host,
        'Authorization: Bearer k1',
        'Papayaloom-Request-Id: q-1',
        'Papayaloom-Request-Deadline: 9000',
        *fields,
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def hidden():
    """Return a whole request, for the inside of another one."""
    return head('Content-Length: 0').replace(b'q-1', HIDDEN.encode())


CHUNKED = head('Transfer-Encoding: chunked')
HIDING = {
    'behind two lengths': (
        head(f'Content-Length: {len(hidden())}', 'Content-Length: 0') + hidden()
    ),
    'behind a list of lengths': head('Content-Length: 0, 0') + hidden(),
    'in a trailer section': CHUNKED + b'3\r\nabc\r\n0\r\n' + hidden(),
    'behind a length and chunks': (
        head('Content-Length: 5', 'Transfer-Encoding: chunked')
        + b'0\r\n\r\n'
        + hidden()
    ),
    'behind chunks of HTTP/1.0': (
        head('Transfer-Encoding: chunked', line='POST /orders/x HTTP/1.0')
        + b'0\r\n\r\n'
        + hidden()
    ),
    'behind a bare line feed': CHUNKED + b'0\n\n' + hidden(),
    'behind a chunk extension with a line feed': (
        CHUNKED + b'0;a\n\r\n\r\n' + hidden()
    ),
    'behind a chunk that is too short': CHUNKED + b'1\r\nab\r\n' + hidden(),
}
MALFORMED = {
    'a bare line feed': head('X-A: b\nX-C: d'),
    'a bare carriage return': head('X-A: b\rX-C: d'),
    'a folded field': head('X-A: b\r\n c'),
    'a space before a colon': head('Content-Length : 0'),
    'a field without a name': head(': b'),
    'a key without a colon': head('Authorization Bearer k1'),
    'a control character': head('X-A: \x01'),
    'a delete character': head('X-A: \x7f'),
    'a null character': head('X-A: \x00'),
    'no host': head(host='X-A: b'),
    'two hosts': head('Host: b.example'),
    'a host with a slash': head(host='Host: a.example/x'),
    'two ids': head('Papayaloom-Request-Id: q-2'),
    'two keys': head('Authorization: Bearer k2'),
    'two deadlines': head('Papayaloom-Request-Deadline: 9'),
    'two spaces': head(line='POST  /orders/x HTTP/1.1'),
    'no version': head(line='POST /orders/x'),
    'a lower-case version': head(line='POST /orders/x http/1.1'),
    'a long version': head(line='POST /orders/x HTTP/1.10'),
    'a space in the target': head(line='POST /orders/x y HTTP/1.1'),
    'a quote in the target': head(line='POST /orders/" HTTP/1.1'),
    'half an encoded octet': head(line='POST /orders/%2 HTTP/1.1'),
    'a fragment': head(line='POST /orders/x#y HTTP/1.1'),
    'a target without a slash': head(line='POST orders/x HTTP/1.1'),
    'an absolute target without a host': head(
        line='POST http:///orders/x HTTP/1.1'
    ),
    'a negative length': head('Content-Length: -1'),
    'a length with a sign': head('Content-Length: +0'),
    'an empty length': head('Content-Length:'),
    'another coding': head('Transfer-Encoding: gzip'),
    'a list of codings': head('Transfer-Encoding: chunked, chunked'),
    'a chunk size with a prefix': CHUNKED + b'0x3\r\nabc\r\n0\r\n\r\n',
    'a chunk size with a space': CHUNKED + b'3 \r\nabc\r\n0\r\n\r\n',
    'a negative chunk size': CHUNKED + b'-3\r\nabc\r\n0\r\n\r\n',
    'a nameless chunk extension': CHUNKED + b'3;\r\nabc\r\n0\r\n\r\n',
    'a folded trailer': CHUNKED + b'0\r\nX-A: b\r\n c\r\n\r\n',
    'a trailer without a colon': CHUNKED + b'0\r\nX-A\r\n\r\n',
}
SOUND = {
    'an empty line before it': (
        b'\r\n' + head('Content-Length: 8') + b'the body'
    ),
    'an absolute target': (
        head(
            'Content-Length: 8',
            line='POST http://a.example/orders/x HTTP/1.1',
            host='Host: b.example',
        )
        + b'the body'
    ),
    'a chunk extension': CHUNKED + b'8;a="b;c"\r\nthe body\r\n0;d\r\n\r\n',
    'a trailer field': CHUNKED + b'08\r\nthe body\r\n0\r\nX-A: b\r\n\r\n',
    'a body in two chunks': CHUNKED + b'4\r\nthe \r\n4\r\nbody\r\n0\r\n\r\n',
}


def answering(*fields, line='HTTP/1.1 200 OK', content=b'whole body'):
    """Return a script of a replica that sends a response as given."""

    def script(engine, conn, method, path, asked, body):
        request = asked.get('papayaloom-request-id', '')
        lines = [
            line,
            f'Papayaloom-Request-Id: {request}',
            'Papayaloom-Response-Seal: seal-1',
            *fields,
        ]
        conn.sendall('\r\n'.join([*lines, '', '']).encode('latin-1') + content)
        return True

    return script


_LENGTH = 'Content-Length: 10'
_CODING = 'Transfer-Encoding: chunked'
_CHUNK = fleets.chunk(b'whole body')
ANSWERS = {
    'two ids': answering(_LENGTH, 'Papayaloom-Request-Id: q-1'),
    'another id first': answering(
        _LENGTH,
        'Papayaloom-Request-Id: q-1',
        line='HTTP/1.1 200 OK\r\nPapayaloom-Request-Id: other',
    ),
    'two seals': answering(_LENGTH, 'Papayaloom-Response-Seal: seal-2'),
    'two lengths': answering(_LENGTH, 'Content-Length: 5'),
    'a length twice': answering(_LENGTH, _LENGTH),
    'a length and chunks': answering(
        _LENGTH, _CODING, content=_CHUNK + b'0\r\n\r\n'
    ),
    'a bare line feed': answering(_LENGTH, 'X-A: b\nX-C: d'),
    'a folded field': answering(_LENGTH, 'X-A: b\r\n c'),
    'a control character': answering(_LENGTH, 'X-A: \x01'),
    'a status out of range': answering(_LENGTH, line='HTTP/1.1 999 OK'),
    'the status 000': answering(_LENGTH, line='HTTP/1.1 000 OK'),
    'the status 099': answering(_LENGTH, line='HTTP/1.1 099 OK'),
    'a status with a sign': answering(_LENGTH, line='HTTP/1.1 +200 OK'),
    'a status with an underscore': answering(_LENGTH, line='HTTP/1.1 2_00 OK'),
    'a status of four digits': answering(_LENGTH, line='HTTP/1.1 0200 OK'),
    'two spaces': answering(_LENGTH, line='HTTP/1.1  200 OK'),
    'a long version': answering(_LENGTH, line='HTTP/1.10 200 OK'),
    'the version 2.0': answering(_LENGTH, line='HTTP/2.0 200 OK'),
    'the version 0.9': answering(_LENGTH, line='HTTP/0.9 200 OK'),
    'the version 1.7': answering(_LENGTH, line='HTTP/1.7 200 OK'),
    'another protocol': answering(_LENGTH, line='ICY/1.1 200 OK'),
    'a switch of the protocol': answering(
        _LENGTH, line='HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK'
    ),
    'a blank in a name': answering('X A: b', _LENGTH),
    'a blank behind a name': answering('X-A : b', _LENGTH),
    'a tab in a name': answering('X\tA: b', _LENGTH),
    'a control byte in a name': answering('X\x01A: b', _LENGTH),
    'a delete character in a name': answering('X\x7fA: b', _LENGTH),
    'a byte above 127 in a name': answering('X\u00e9A: b', _LENGTH),
    'no name': answering(': b', _LENGTH),
    'no colon': answering('X-A', _LENGTH),
    'a blank before the first name': answering(
        _LENGTH, line='HTTP/1.1 200 OK\r\n X-A: b'
    ),
    'a length with a sign': answering('Content-Length: +10'),
    'a negative length': answering('Content-Length: -10'),
    'an empty length': answering('Content-Length:'),
    'a length that is no number': answering('Content-Length: ten'),
    'a length of 5000 digits': answering('Content-Length: ' + '1' * 5000),
    'another coding': answering('Transfer-Encoding: identity'),
    'two codings': answering('Transfer-Encoding: gzip, chunked'),
    'a coding of HTTP/1.0': answering(
        _CODING, line='HTTP/1.0 200 OK', content=_CHUNK + b'0\r\n\r\n'
    ),
    'a chunk size with a sign': answering(
        _CODING, content=b'+a\r\nwhole body\r\n0\r\n\r\n'
    ),
    'a chunk size with a prefix': answering(
        _CODING, content=b'0xa\r\nwhole body\r\n0\r\n\r\n'
    ),
    'a negative chunk size': answering(
        _CODING, content=b'-a\r\nwhole body\r\n0\r\n\r\n'
    ),
    'a chunk without its end': answering(
        _CODING, content=b'a\r\nwhole bodyXX0\r\n\r\n'
    ),
    'a chunk size with a space': answering(
        _CODING, content=b'a \r\nwhole body\r\n0\r\n\r\n'
    ),
    'a chunk end with a bare line feed': answering(
        _CODING, content=_CHUNK + b'0\n\n'
    ),
    'a trailer without a colon': answering(
        _CODING, content=_CHUNK + b'0\r\nX-A\r\n\r\n'
    ),
}
# Of one exchange, in which no other request can be meant.
OF_GATEWAYS_ONLY = frozenset(('two ids', 'another id first', 'two seals'))
SOUND_ANSWERS = {
    'no reason': answering(_LENGTH, line='HTTP/1.1 200'),
    'early hints': answering(
        _LENGTH, line='HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK'
    ),
    'a chunk extension and a trailer': answering(
        _CODING, content=b'a;b="c"\r\nwhole body\r\n0\r\nX-A: b\r\n\r\n'
    ),
    'an empty field': answering(_LENGTH, 'X-A:'),
    'bytes above 127 in a value': answering(_LENGTH, 'X-A: \u00e9'),
    'odd but allowed bytes in a name': answering(_LENGTH, "!#$%&'*+-.^_`|~: b"),
}
