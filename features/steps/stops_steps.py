import threading

import behave

from papayaloom import clock
from papayaloom.bench import fleet_stops
from papayaloom.process import drain, timers


@behave.given(
    'a router with addresses kept for {ttl:d} s and a spread of {spread:d} s'
)
def router(context, ttl, spread):
    context.drain = drain.Drain(drain.Cfg(ttl_s=ttl, spread_s=spread))
    context.now = 100
    context.lines = []
    context.announced = 0


def begin(context):
    step = context.drain.begin(context.now)
    context.announced += step.announce
    context.begun = context.now
    return step


def run(context, seconds, running, handed_over=True):
    """Tick four times a second; return the first step that says to stop."""
    until = context.now + seconds
    while context.now < until:
        step = context.drain.tick(running, handed_over, context.now)
        if step.progress:
            context.lines.append(step.progress)
        if step.hand_over:
            context.handed = context.now
        if step.stop:
            return context.now - context.begun
        context.now += 0.25
    return None


@behave.when('it is told to stop with {count:d} requests running')
def told_to_stop(context, count):
    context.step = begin(context)
    context.running = count


@behave.then(
    'it announces at once and still takes requests {seconds:d} s later'
)
def announces(context, seconds):
    assert context.step.announce
    assert run(context, seconds, running=0) is None
    assert context.drain.state is drain.State.ANNOUNCED
    assert context.drain.accepts_requests()


@behave.then('it does not stop while a request runs')
def does_not_stop(context):
    assert run(context, 300, running=1) is None
    assert context.drain.state is drain.State.DRAINING
    assert context.drain.accepts_requests()


@behave.then('it hands over and then stops once the requests have ended')
def hands_over(context):
    step = context.drain.tick(0, False, context.now)
    assert step.hand_over and not context.drain.accepts_requests()
    assert not context.drain.tick(0, False, context.now).stop
    assert context.drain.tick(0, True, context.now).stop
    assert context.drain.dump(context.now).cut_off == 0


@behave.when('it is told to stop twice, {seconds:d} s apart')
def twice(context, seconds):
    begin(context)
    run(context, seconds, running=0)
    assert not context.drain.begin(context.now).announce


@behave.then('it announces once and stops {seconds:d} s after the first signal')
def announces_once(context, seconds):
    stopped = run(context, 60, running=0)
    assert context.announced == 1
    assert seconds - 1 <= stopped <= seconds


@behave.when('it is told to stop and a request never ends')
def never_ends(context):
    begin(context)


@behave.when('it is told to stop and the longest stop becomes {seconds:d} s')
def shorter(context, seconds):
    begin(context)
    run(context, 50, running=1)
    context.drain.configure(drain.Cfg(ttl_s=1, longest_s=seconds))


@behave.then(
    'it stops after {seconds:d} s and its dump counts {count:d} request as cut off'
)
def cut_off(context, seconds, count):
    stopped = run(context, 700, running=1)
    assert seconds <= stopped <= seconds + 1, stopped
    assert context.drain.dump(context.now).cut_off == count


@behave.when('it is told to stop and the hand-over never leaves')
def never_leaves(context):
    begin(context)
    context.stopped = run(context, 100, running=0, handed_over=False)


@behave.then('it stops {seconds:d} s after it began to hand over')
def stops_after(context, seconds):
    waited = context.begun + context.stopped - context.handed
    assert seconds <= waited <= seconds + 0.5


@behave.then(
    'it prints between 38 and 42 lines in 40 s, each with state and count'
)
def lines(context):
    run(context, 40, context.running)
    assert 38 <= len(context.lines) <= 42, len(context.lines)
    for line in context.lines:
        assert 'announced' in line and '5 requests' in line, line


@behave.given('the rolling restart of the bench with seed {seed:d}')
def rolling(context, seed):
    context.figures = {
        (name, policy): figure
        for name, figure, _, policy in fleet_stops.run(seed)
    }


@behave.then('planned stops cut off 0 requests, and killed routers many')
def planned(context):
    planned_stop, kill = fleet_stops.PLANNED, fleet_stops.KILL
    assert context.figures['cut_off_requests', planned_stop] == 0
    assert context.figures['unanswered_requests', planned_stop] == 0
    assert context.figures['cut_off_requests', kill] > 50


@behave.given('virtual timers with calls every 1 s, every 2.5 s and after 2 s')
def virtual(context):
    ticks = clock.VirtualClock()
    context.calls = []
    context.timers = timers.VirtualTimers(ticks)

    def note(name):
        return lambda: context.calls.append((name, ticks.monotonic()))

    context.every = context.timers.every(1, note('a'))
    context.timers.every(2.5, note('b'))
    context.timers.after(2, note('c'))
    context.timers.run_until(5)


@behave.then('the calls come in the order of their times')
def in_order(context):
    assert context.calls == [
        ('a', 1),
        ('c', 2),
        ('a', 2),
        ('b', 2.5),
        ('a', 3),
        ('a', 4),
        ('b', 5),
        ('a', 5),
    ]


@behave.then('a cancelled subscription is called no more')
def cancelled(context):
    context.every.cancel()
    context.calls.clear()
    context.timers.run_until(10)
    assert {name for name, _ in context.calls} == {'b'}


@behave.then('a real timer service that was held up makes no burst of calls')
def no_burst(context):
    ticks = clock.VirtualClock()
    service = timers.Timers(ticks)
    calls, done = [], threading.Event()

    def held_up():
        # The first call takes a hundred periods of the service's clock.
        calls.append(ticks.monotonic())
        ticks.advance(100 if len(calls) == 1 else 0)
        done.set()

    service.every(1, held_up)
    ticks.advance(1)
    service.start()
    assert done.wait(10)
    service.after(0, done.set)
    service.stop()
    assert len(calls) <= 2, calls
