"""HTTP adapter of :class:`papayaloom.ports.service.Services`."""

import msgspec

from papayaloom import decoding, errors
from papayaloom.ports import engine, http, service

_SHORT_TIMEOUTS = engine.Timeouts(connect_s=1, read_s=5)


class HttpServices:
    """HTTP client of service replicas; thread-safe."""

    def __init__(self) -> None:
        """Create empty connection pools."""
        self._pools = http.Pools()

    def call(
        self, url: str, call: service.Call, timeouts: engine.Timeouts
    ) -> service.Reply:
        """Send a call once and return the whole response."""
        response = http.send(
            self._pools,
            http.Request(
                call.method,
                url,
                call.path,
                call.headers,
                call.body,
                timeouts,
                fresh='Idempotency-Key' in call.headers,
            ),
        )
        content = http.read_body(response, call.reply_bytes)
        problem = http.decode_problem(response, content)
        if problem and problem.verdict == errors.Verdict.NOT_RUN.value:
            raise errors.RefusedError(problem)
        if response.status >= 500:
            raise errors.UpstreamError(
                f'the service answered with status {response.status}',
                errors.Verdict.MAY_HAVE_RUN,
            )
        content_type = response.headers.get('Content-Type', '')
        return service.Reply(response.status, content, content_type)

    def state(self, url: str) -> service.State:
        """Return the replica's state."""
        content = self._get(url, '/v1/state')
        try:
            return decoding.decode_json(content, service.State)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise errors.UpstreamError(
                f'malformed state document: {exc}', errors.Verdict.RAN
            ) from exc

    def healthy(self, url: str) -> bool:
        """Return whether the replica accepts calls."""
        try:
            self._get(url, '/health')
        except errors.PapayaloomError:
            return False
        return True

    def _get(self, url: str, path: str) -> bytes:
        req = http.Request('GET', url, path, {}, timeouts=_SHORT_TIMEOUTS)
        return http.success_body(http.send(self._pools, req))
