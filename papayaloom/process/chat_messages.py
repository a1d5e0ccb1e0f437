"""Messages about chats and engines that routers send each other."""

import itertools
import typing

from papayaloom import ids, messages

# About 3 KB a message, so that a handover does not delay more urgent messages.
_HINTS_PER_MESSAGE = 50
_Sends = list[messages.Send]


def engine_of(message: messages.Message) -> ids.EngineId | None:
    """Return the engine that a message is about, if its owner handles it."""
    match message:
        case messages.Ask() | messages.Hold() | messages.Release():
            return message.engine
        case messages.PromiseRequest():
            return message.engines[0] if message.engines else None
        case messages.Promise():
            return message.counts[0][0] if message.counts else None
    return None


def unknown_engine(
    sender: ids.RouterId,
    message: messages.Message,
) -> _Sends:
    """Deny a request for admission to an unknown engine."""
    if not isinstance(message, messages.Ask):
        return []
    denial = messages.Answer(
        message.ask,
        message.engine,
        messages.GrantState.DENIED,
        0,
        0,
    )
    return [messages.Send(sender, denial, messages.Priority.ADMISSION)]


def split_handover(
    receiver: ids.RouterId,
    handover: messages.Handover,
) -> typing.Iterator[messages.Send]:
    """Split a handover into messages of a few kilobytes."""
    hints = iter(handover.hints)
    while batch := tuple(itertools.islice(hints, _HINTS_PER_MESSAGE)):
        yield messages.Send(
            receiver,
            messages.Handover(batch),
            messages.Priority.HANDOVER,
        )
