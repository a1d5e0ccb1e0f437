import collections

import behave

from papayaloom.process import limits, shares

STEP_S = 0.05
ORG = 'gecko-house'


@behave.given(
    '{count:d} routers whose organisation may send {rate:d} requests a second'
)
def routers(context, count, rate):
    names = tuple(f'router-{number}' for number in range(count))
    cfg = limits.Cfg(rate_per_s=rate)
    context.rate = rate
    context.now = 0.0
    context.shares = {
        name: shares.OrganisationLimits(cfg, name) for name in names
    }
    for share in context.shares.values():
        share.update_members(names, count, context.now)
    context.admitted = []
    context.refused = []
    run(context, {}, 10)


def run(context, rates, seconds):
    due = collections.Counter()
    for _ in range(round(seconds / STEP_S)):
        context.now += STEP_S
        for name, rate in rates.items():
            due[name] += rate * STEP_S
            while due[name] >= 1:
                due[name] -= 1
                refused = context.shares[name].refusal(ORG, context.now)
                log = context.refused if refused else context.admitted
                log.append(context.now)
        sends = [
            (name, send)
            for name, share in context.shares.items()
            for send in share.tick(context.now)
        ]
        while sends:
            sender, send = sends.pop()
            answers = context.shares[send.to].handle(
                sender, send.message, context.now
            )
            sends.extend((send.to, answer) for answer in answers)


@behave.given('{name} sends {rate:d} requests a second for {seconds:d} seconds')
def one_sends(context, name, rate, seconds):
    run(context, {name: rate}, seconds)
    context.rate_used = rate
    context.refused.clear()


@behave.when('the requests move to {name} for {seconds:d} seconds')
def move(context, name, seconds):
    run(context, {name: context.rate_used}, seconds)


@behave.then('none of them is refused')
def none_refused(context):
    assert not context.refused, len(context.refused)


@behave.when(
    'all of them send {rate:d} requests a second for {seconds:d} seconds'
)
def all_send(context, rate, seconds):
    context.admitted.clear()
    context.seconds = seconds
    run(context, dict.fromkeys(context.shares, rate), seconds)


@behave.then(
    'the fleet admitted at most 12 a second and a burst of half a second'
)
def within_rate(context):
    # One token more for each router: its first request finds one.
    most = context.rate * (context.seconds + 0.5) + len(context.shares)
    assert len(context.admitted) <= most, (len(context.admitted), most)


@behave.then('at least {share:f} of that rate was used')
def rate_used(context, share):
    least = share * context.rate * context.seconds
    assert len(context.admitted) >= least, (len(context.admitted), least)


@behave.when('{count:d} requests reach {name} at the same time')
def at_once(context, count, name):
    for _ in range(count):
        if context.shares[name].refusal(ORG, context.now):
            context.refused.append(context.now)
