"""Fault switches that all stand-ins share."""

import msgspec

from papayaloom import errors

ALWAYS = -1


class Faults(msgspec.Struct):
    """Faults of one stand-in; a number says for how many calls, -1 for all.

    :param delay_s: seconds added to every answer.
    :param drop_before: calls lost before they take effect.
    :param drop_after: calls whose answer is lost after the effect.
    :param refuse: calls refused without an effect.
    :param crash: calls at which the process crashes before the effect.
    :param cross: stream events that carry the id of another request.
    :param stale: answers keep showing the state of the moment it was set.
    :param leaving: the upstream is leaving and takes no new work.
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
        """Use up one occurrence of a counted fault.

        :returns: whether the fault happens now.
        """
        left: int = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left != 0

    def before(self) -> None:
        """Apply the faults that strike before a call takes effect.

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
        """Apply the faults that strike after a call took effect.

        :raises errors.UpstreamError: the answer is lost.
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
