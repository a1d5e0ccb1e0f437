import random
import threading
import time

import behave

from papayaloom import errors
from papayaloom.ports import kv
from papayaloom.process import feed, hedging


@behave.given('calls that {script}')
def scripted_calls(context, script):
    context.script = [
        word.removeprefix('take ').removesuffix(' s')
        for word in script.split(', then ')
    ]
    context.made = 0
    context.lock = threading.Lock()
    context.end = threading.Event()
    context.add_cleanup(context.end.set)


def call(context):
    with context.lock:
        number = context.made
        context.made += 1
    step = context.script[min(number, len(context.script) - 1)]
    if step == 'fail':
        raise errors.StoreUnavailableError('scripted')
    context.end.wait(float(step))
    return number + 1


@behave.when('up to {most:d} of them are made, {hedge:g} s apart')
def made(context, most, hedge):
    context.late = []
    context.answer = context.failure = None
    begun = time.monotonic()
    try:
        context.answer = hedging.first(
            lambda: call(context), hedge, most, lambda: context.late.append(1)
        )
    except errors.StoreUnavailableError as exc:
        context.failure = exc
    context.took_s = time.monotonic() - begun


@behave.then(
    'the answer is that of call {number:d}, after {least:g} s to {most:g} s'
)
def answer_of(context, number, least, most):
    assert context.answer == number, (context.answer, context.failure)
    assert least <= context.took_s <= most, context.took_s


@behave.then('{count:d} of the calls was told to be late')
def told_late(context, count):
    assert len(context.late) == count


@behave.then('the failure is raised after {least:g} s to {most:g} s')
def raised(context, least, most):
    assert context.failure is not None
    assert least <= context.took_s <= most, context.took_s


class HangingStore:
    """Store whose first calls hang."""

    def __init__(self, hanging, seconds, end):
        self._left = hanging
        self._seconds = seconds
        self._end = end

    def list_prefix(self, prefix, after='', limit=500, *, values=True):
        if self._left:
            self._left -= 1
            self._end.wait(self._seconds)
        return kv.Listing((kv.Entry('a/1', b'x', 1),), False, 1)


@behave.given('a store whose first {count:d} calls hang for {seconds:g} s')
def hanging_store(context, count, seconds):
    end = threading.Event()
    context.add_cleanup(end.set)
    context.store = HangingStore(count, seconds, end)


@behave.when('a feed starts to follow it')
def feed_starts(context):
    context.listed = threading.Event()
    context.away = []
    context.begun = time.monotonic()

    def replace(entries):
        assert [one.key for one in entries] == ['a/1'], entries
        context.listed.set()

    def watch(after):
        time.sleep(0.1)
        return kv.Watched((), after)

    source = feed.Source('a/', replace, lambda *_: None, lambda _: None)
    health = feed.Health(
        lambda: None, lambda: context.away.append(1), lambda: None
    )
    part = feed.Feed(context.store, watch, (source,), health, random.Random(1))
    context.add_cleanup(part.stop)
    part.start()


@behave.then('its entries are listed within {seconds:g} s')
def listed_within(context, seconds):
    assert context.listed.wait(seconds)


@behave.then('the feed has said once that the store is away')
def said_once(context):
    assert len(context.away) == 1, context.away
