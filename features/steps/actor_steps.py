import random

import behave
import pykka

from papayaloom import clock, ids, messages
from papayaloom.process import (
    actors,
    admission_client,
    core,
    current_settings,
    dispatch_actor,
    liveness,
)
from papayaloom.routing import dispatch


class _Silent:
    """Outbox without a network."""

    def put(self, sends, now):
        """Drop what would be sent."""

    def take(self, now):
        """Return nothing."""
        return []


@behave.given('a router actor')
def actor(context):
    me = messages.Member(
        ids.RouterId('router-0'), 'tcp://a', 'http://a', 'a', 'lk-west', 1
    )
    context.core = core.Core(
        me, current_settings.CurrentSettings(), random.Random(1)
    )
    wires = actors.RouterIO(None, _Silent(), None, print)
    context.actor = actors.RouterActor.start(
        context.core, wires, clock.VirtualClock(5)
    )
    context.add_cleanup(context.actor.stop)


def fail(decisions, now):
    raise KeyError('a fault of a part')


@behave.when('a step for a request raises an unexpected exception')
def step_fails(context):
    context.fut = pykka.ThreadingFuture()
    context.actor.tell(actors.Begin(1, context.fut, fail))
    context.outcome = context.fut.get(timeout=5)


@behave.then('that request is refused as not run')
def refused(context):
    assert context.outcome.err_value.status == 500
    assert context.outcome.err_value.verdict == 'not run'


@behave.then('the actor still answers and counts one fault')
def answers(context):
    step = actors.Run(lambda decisions, now: admission_client.Effects())
    context.actor.tell(step)
    faults = context.actor.ask(
        actors.Query(lambda decisions, now: decisions.faults), timeout=5
    )
    assert faults == 1


@behave.given('a process that checks its actor each second')
def checks_actor(context):
    context.liveness = liveness.Liveness(15)


@behave.when('the actor handles messages for 30 checks and then {after}')
def beats_then(context, after):
    for _ in range(30):
        context.liveness.record_heartbeat()
        assert not context.liveness.is_stuck()
    if 'pauses' in after:
        # No check runs during the pause, and one may run before the actor.
        context.stuck = context.liveness.is_stuck()
        context.liveness.record_heartbeat()
        return
    checks = int(after.split()[2])
    context.stuck = any([context.liveness.is_stuck() for _ in range(checks)])


@behave.then('the process ends')
def process_ends(context):
    assert context.stuck


@behave.then('the process goes on')
def process_goes_on(context):
    assert not context.stuck


@behave.given('the dispatch state of a forwarding router')
def dispatch_state(context):
    rng = random.Random(1)
    dispatcher = dispatch.Dispatcher(dispatch.Cfg(), rng, 1)
    actor = dispatch_actor.DispatchActor.start(
        dispatcher, clock.VirtualClock(5)
    )
    context.add_cleanup(actor.stop)
    context.dispatch_client = dispatch_actor.DispatchClient(actor)


@behave.when('a step that is {sent} raises an unexpected exception')
def dispatch_step_fails(context, sent):
    if sent == 'told':
        context.dispatch_client.tell(fail)
        return
    try:
        context.dispatch_client.ask(fail)
    except KeyError:
        return
    raise AssertionError('the sender was not told')


@behave.then('the dispatch state still answers')
def dispatch_answers(context):
    assert context.dispatch_client.ask(lambda _, now: now) == 5
