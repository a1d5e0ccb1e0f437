"""Record of one request, and its human-readable explanation.

Records hold no API keys and no message contents.
"""

import msgspec

from papayaloom import ids
from papayaloom.request import core_api, stream_splicer


class Try(msgspec.Struct, kw_only=True):
    """One attempt at an upstream.

    :param reason: why this upstream was chosen.
    :param offset: number of tokens already delivered when the attempt started.
    :param started_s: start time in seconds after the arrival of the request.
    """

    upstream: str
    reason: str = ''
    offset: int = 0
    started_s: float = 0
    seconds: float = 0
    outcome: str = ''
    verdict: str = ''
    cached_tokens: int = 0


class Decision(msgspec.Struct, frozen=True):
    """A setting that influenced how the request was handled."""

    path: str
    value: bool | int | float | str | tuple[str, ...]
    branch: str
    version: int


class Record(msgspec.Struct, kw_only=True):
    """What happened to one request.

    :param upstream_id: id of the request as sent to upstreams.
    :param kind: ``chat`` or ``call``.
    :param target: ``models/<model>`` or ``services/<service>``.
    :param subject: chat id, or method and path of the call.
    :param first_byte_s: seconds until the first token; 0 if there was none.
    """

    request_id: ids.RequestId
    upstream_id: ids.RequestId
    kind: str
    organisation: ids.OrgId
    target: str = ''
    subject: str = ''
    router: str = ''
    started_unix_ms: int = 0
    settings_version: int = 0
    status: int = 0
    verdict: str = ''
    problem: str = ''
    first_byte_s: float = 0
    seconds: float = 0
    tokens: int = 0
    tries: list[Try] = msgspec.field(default_factory=list)
    decisions: list[Decision] = msgspec.field(default_factory=list)
    dropped: stream_splicer.Counts = msgspec.field(
        default_factory=stream_splicer.Counts
    )

    def add_decision(
        self, settings: core_api.Settings, path: str, target: str = ''
    ) -> None:
        """Add a setting that influenced the request, with its current value."""
        if not path:
            return
        found = settings.resolve(
            path, org=self.organisation, target=target or self.target
        )
        decision = Decision(path, found.value, found.branch, found.version)
        if decision not in self.decisions:
            self.decisions.append(decision)


def explain(record: Record) -> list[str]:
    """Describe a record as a list of sentences."""
    lines = [
        f'{record.kind} {record.request_id} of {record.organisation} to '
        f'{record.target} ({record.subject or "no chat id"}) under settings '
        f'version {record.settings_version}.',
    ]
    for number, attempt in enumerate(record.tries, start=1):
        lines.append(
            f'Try {number} at {attempt.upstream} ({attempt.reason}) began at '
            f'{attempt.started_s:.3f} s from token {attempt.offset} with '
            f'{attempt.cached_tokens} cached tokens: {attempt.outcome} after '
            f'{attempt.seconds:.3f} s, verdict {attempt.verdict}.',
        )
    for decision in record.decisions:
        lines.append(
            f'{decision.path} is {decision.value!r}, set by '
            f'{decision.branch or "the default"} in version '
            f'{decision.version}.',
        )
    counts = msgspec.structs.asdict(record.dropped)
    dropped = [
        f'{count} {name.replace("_", " ")}'
        for name, count in counts.items()
        if count
    ]
    if dropped:
        lines.append(f'Events not delivered: {", ".join(dropped)}.')
    ending = f'Status {record.status}, verdict {record.verdict}'
    if record.problem:
        ending = f'{ending}, problem "{record.problem}"'
    lines.append(
        f'{ending}; {record.tokens} tokens, the first after '
        f'{record.first_byte_s:.3f} s, the last after {record.seconds:.3f} s.',
    )
    return lines
