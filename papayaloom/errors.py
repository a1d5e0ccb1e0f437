"""Verdicts, problem documents and exceptions of the public API."""

import enum

import msgspec


class Verdict(enum.Enum):
    """Whether a request may have run on an upstream."""

    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'
    RAN = 'ran'


class Problem(msgspec.Struct, frozen=True):
    """Problem document (RFC 9457) with extension members of this fleet.

    Default values are encoded too, because a document without a verdict has to
    be treated as "may have run".

    :param status: HTTP status code.
    :param verdict: value of :class:`Verdict`.
    :param setting: path of the setting that caused the refusal.
    :param settings_version: version of the settings that applied to the
        request.
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

    :param refusals: one struct for each fault of the document
        (:class:`papayaloom.version.document.Refusal`).
    """

    def __init__(
        self,
        message: str,
        refusals: tuple[msgspec.Struct, ...] = (),
    ) -> None:
        """Store the refusals with the message."""
        super().__init__(message)
        self.refusals = refusals


class ConflictError(SettingsError):
    """Another editor has changed the branch since it was read.

    :param version: current version of the branch, 0 if it does not exist.
    :param theirs: current text of the branch.
    :param mine: text that was to replace it.
    """

    def __init__(
        self,
        message: str,
        version: int = 0,
        theirs: str = '',
        mine: str = '',
    ) -> None:
        """Store both texts with the message."""
        super().__init__(message)
        self.version = version
        self.theirs = theirs
        self.mine = mine


class StoreUnavailableError(PapayaloomError):
    """The key-value service gave no usable response.

    A write that raised this error may have taken effect.
    """


class StoreDisconnectedError(StoreUnavailableError):
    """The key-value service closed the connection of a call."""


class WatchCutError(StoreUnavailableError):
    """The key-value service closed the connection of a waiting watch.

    It may do so at any time; that alone does not show that it is unavailable.
    """


class CodecError(PapayaloomError):
    """A message or document was malformed, foreign, replayed or forged."""


class RefusedError(PapayaloomError):
    """A request was refused.

    :param problem: the problem document that the caller receives.
    """

    def __init__(self, problem: Problem) -> None:
        """Store the problem document."""
        super().__init__(problem.title)
        self.problem = problem


class UpstreamError(PapayaloomError):
    """An upstream failed.

    :param verdict: whether the request may have run there.
    :param crashed: the upstream closed the connection, which suggests that its
        process crashed.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        *,
        crashed: bool = False,
    ) -> None:
        """Store the verdict with the message."""
        super().__init__(message)
        self.verdict = verdict
        self.crashed = crashed
