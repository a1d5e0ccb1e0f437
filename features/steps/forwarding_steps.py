import behave

from papayaloom import errors, ids
from papayaloom.request import forwarding
from papayaloom.version import routes

KINDS = {
    'idempotent': (routes.Kind.IDEMPOTENT, False),
    'non-idempotent': (routes.Kind.NON_IDEMPOTENT, False),
    'stream': (routes.Kind.STREAM, False),
    'resumable': (routes.Kind.STREAM, True),
}


@behave.given('a route of kind "{name}" for {most:d} attempts')
def route_of_kind(context, name, most):
    kind, is_resumable = KINDS[name]
    context.route = routes.Route(
        name='r',
        host='a.example',
        prefix='/a/',
        kind=kind,
        targets=(routes.Target(ids.ServiceId('s')),),
        timeout_s=12,
        objective_s=0.2,
        max_attempts=most,
        is_resumable=is_resumable,
    )
    context.progress = forwarding.Progress()


@behave.given('{runs:d} failed attempts that may have run')
def failed_attempts(context, runs):
    context.progress.runs = runs


@behave.when('an attempt fails as "{verdict}" with {left:g} s left')
def attempt_fails(context, verdict, left):
    context.step_taken = forwarding.after_failure(
        context.route, context.progress, errors.Verdict(verdict), left
    )


@behave.then('the forwarding step is "{step}"')
def next_step(context, step):
    assert context.step_taken.value == step, context.step_taken


@behave.then('an attempt with {left:g} s left may take {wait:g} s')
def attempt_may_take(context, left, wait):
    found = forwarding.response_timeout_s(context.route, context.progress, left)
    assert abs(found - wait) < 1e-6, found
