"""Fault switches common to the stand-ins."""

import msgspec

from papayaloom import errors

ALWAYS = -1


class Faults(msgspec.Struct):
    """Faults of one stand-in; counts are numbers of calls, -1 for all.

    :param delay_s: seconds added to every response.
    :param drop_before: calls lost before they take effect.
    :param drop_after: calls whose response is lost after the effect.
    :param refuse: calls refused without effect.
    :param crash: calls that crash the process before the effect.
    :param cross: stream events that carry the ID of another request.
    :param stale: responses keep reporting the state last reported.
    :param leaving: the upstream is leaving and accepts no new work.
    """

    delay_s: float = 0
    drop_before: int = 0
    drop_after: int = 0
    refuse: int = 0
    crash: int = 0
    cross: int = 0
    stale: bool = False
    leaving: bool = False

    def take(self, name: str) -> bool:
        """Consume one occurrence of a counted fault.

        :returns: whether the fault occurs now.
        """
        remaining: int = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining != 0

    def before(self) -> None:
        """Apply the faults that occur before a call takes effect.

        :raises errors.UpstreamError: the call is lost.
        :raises errors.RefusedError: the call is refused.
        """
        if self.take('crash'):
            raise errors.UpstreamError(
                'the process crashed',
                errors.Verdict.MAY_HAVE_RUN,
                crashed=True,
            )
        if self.take('drop_before'):
            raise errors.UpstreamError(
                'no answer arrived',
                errors.Verdict.MAY_HAVE_RUN,
            )
        if self.take('refuse'):
            raise errors.RefusedError(
                errors.Problem('refused by a fault switch', 409)
            )

    def after(self) -> None:
        """Apply the faults that occur after a call has taken effect.

        :raises errors.UpstreamError: the response is lost.
        """
        if self.take('drop_after'):
            raise errors.UpstreamError(
                'no answer arrived',
                errors.Verdict.MAY_HAVE_RUN,
            )

    def change(self, **switches: float) -> None:
        """Set switches by name.

        :raises ValueError: a switch does not exist.
        """
        for name, value in switches.items():
            if name not in self.__struct_fields__:
                raise ValueError(f'fault switch {name!r} does not exist')
            setattr(self, name, value)
