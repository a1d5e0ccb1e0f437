import io
import threading
import time

import behave

from papayaloom.commands import bounded_log


class Blocked(io.StringIO):
    """Output whose first write waits."""

    def __init__(self):
        super().__init__()
        self.open = threading.Event()

    def write(self, line):
        self.open.wait(10)
        return super().write(line)


@behave.given('a log of at most {count:d} lines a second')
def log_of(context, count):
    context.output = io.StringIO()
    context.log = bounded_log.BoundedLog(context.output, count)


@behave.given('a log whose output is blocked')
def log_blocked(context):
    context.output = Blocked()
    context.add_cleanup(context.output.open.set)
    context.log = bounded_log.BoundedLog(context.output, 1000, waiting=5)


@behave.when('{count:d} lines are logged at once')
def lines_logged(context, count):
    begun = time.monotonic()
    for number in range(count):
        context.log.write(f'line {number}\n')
    context.took_s = time.monotonic() - begun
    context.count = count


@behave.then('at most {most:d} lines are written, and the rest is counted')
def at_most_written(context, most):
    context.log.drain(2)
    time.sleep(0.05)
    written = context.output.getvalue().count('line ')
    # Two seconds may share the lines when the clock's second turns.
    assert written <= most, written
    assert context.log.dropped == context.count - written


@behave.then('logging took less than {seconds:g} s, and the rest is counted')
def logging_took(context, seconds):
    assert context.took_s < seconds, context.took_s
    assert context.log.dropped >= context.count - 7, context.log.dropped
