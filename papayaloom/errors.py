"""Verdicts, problem documents and the exceptions of the public API."""

import enum

import msgspec


class Verdict(enum.Enum):
    """Whether a request may have run at an upstream."""

    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'
    RAN = 'ran'


class Problem(msgspec.Struct, frozen=True):
    """Problem document (RFC 9457) with the fields that this fleet adds.

    All fields are encoded: a document without a verdict would have to be read
    as "may have run".

    :param status: HTTP status code.
    :param verdict: value of :class:`Verdict`.
    :param setting: path of the setting that decided the refusal.
    :param settings_version: version of the settings that judged the request.
    :param retry_after_s: seconds after which a retry is useful.
    """

    title: str
    status: int
    detail: str = ''
    type: str = 'about:blank'
    verdict: str = Verdict.NOT_RUN.value
    request_id: str = ''
    settings_version: int = 0
    setting: str = ''
    retry_after_s: float = 0

    def encode(self) -> bytes:
        """Return the document as JSON."""
        return msgspec.json.encode(self)


class PapayaloomError(Exception):
    """Base class of the errors raised by the public API."""


class SettingsError(PapayaloomError):
    """A settings document or edit was refused.

    :param refusals: what is wrong with the document, one struct each
        (:class:`papayaloom.version.document.Refusal`).
    """

    def __init__(
        self,
        message: str,
        refusals: tuple[msgspec.Struct, ...] = (),
    ) -> None:
        """Keep the refusals beside the message."""
        super().__init__(message)
        self.refusals = refusals


class ConflictError(SettingsError):
    """A branch was changed by another editor in the meantime.

    :param version: version of the branch now, 0 when it does not exist.
    :param theirs: text of the branch now.
    :param mine: text that was to replace it.
    """

    def __init__(
        self,
        message: str,
        version: int = 0,
        theirs: str = '',
        mine: str = '',
    ) -> None:
        """Keep both texts."""
        super().__init__(message)
        self.version = version
        self.theirs = theirs
        self.mine = mine


class StoreUnavailableError(PapayaloomError):
    """The key-value service did not answer in time.

    A write that raised this error may have taken effect.
    """


class CodecError(PapayaloomError):
    """A control message was malformed, foreign, replayed or not authentic."""


class RefusedError(PapayaloomError):
    """A request was refused; carries the problem document.

    :param problem: what the caller receives.
    """

    def __init__(self, problem: Problem) -> None:
        """Keep the problem document."""
        super().__init__(problem.title)
        self.problem = problem


class UpstreamError(PapayaloomError):
    """An upstream failed.

    :param verdict: whether the request may have run there.
    :param crashed: the upstream's process broke the connection.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        *,
        crashed: bool = False,
    ) -> None:
        """Keep the verdict beside the message."""
        super().__init__(message)
        self.verdict = verdict
        self.crashed = crashed
