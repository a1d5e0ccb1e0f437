"""HTTP adapter of :class:`papayaloom.ports.service.Services`."""

import msgspec

from papayaloom import errors
from papayaloom.ports import engine, http, service

_QUICK = engine.Timeouts(connect_s=1, read_s=5)


class HttpServices:
    """Service replicas reached over HTTP; safe for many threads."""

    def __init__(self) -> None:
        """Create empty connection pools."""
        self._pools = http.Pools()

    def call(
        self, url: str, call: service.Call, timeouts: engine.Timeouts
    ) -> service.Reply:
        """Send a call once."""
        answer = http.send(
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
        content = http.body(answer, call.reply_bytes)
        problem = http.refusal(answer, content)
        if problem and problem.verdict == errors.Verdict.NOT_RUN.value:
            raise errors.RefusedError(problem)
        if answer.status >= 500:
            raise errors.UpstreamError(
                f'the service answered with status {answer.status}',
                errors.Verdict.MAY_HAVE_RUN,
            )
        kind = answer.headers.get('Content-Type', '')
        return service.Reply(answer.status, content, kind)

    def state(self, url: str) -> service.State:
        """Return the replica's state."""
        content = self._get(url, '/v1/state')
        try:
            return msgspec.json.decode(content, type=service.State)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise errors.UpstreamError(
                f'unreadable state: {exc}', errors.Verdict.RAN
            ) from exc

    def healthy(self, url: str) -> bool:
        """Return whether the replica takes calls."""
        try:
            self._get(url, '/health')
        except errors.PapayaloomError:
            return False
        return True

    def _get(self, url: str, path: str) -> bytes:
        req = http.Request('GET', url, path, {}, timeouts=_QUICK)
        return http.checked(http.send(self._pools, req))
