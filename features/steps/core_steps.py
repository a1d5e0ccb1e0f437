import uuid

import behave

from features.machines import fleet as harness
from papayaloom import errors, hashing
from papayaloom.process import admission_client
from papayaloom.request import core_api
from papayaloom.version import edit, settings_log, change


def key(context):
    stamp = context.fleet.clock.unix_ms()
    number = (stamp << 80) | (7 << 76) | (2 << 62) | 12345
    return str(uuid.UUID(int=number))


def granted(context, name, ticket):
    outcome = context.fleet.outcome(name, ticket)
    assert outcome is not None and outcome.is_ok(), outcome
    return outcome.ok_value.grant


def editor(context):
    return edit.Editor(
        context.fleet.store,
        'operator',
        context.fleet.clock,
        context.fleet.rng,
        context.fleet.clock.advance,
    )


def commit(context, branch, text):
    committed = editor(context).commit(branch, text, 0)
    state = settings_log.read(context.fleet.store, None)
    records = [change.encode_delta(delta) for delta in state.deltas]
    context.fleet.settings(records)
    context.version = committed.version


@behave.given('3 routers and 2 engines that have found each other')
def three_routers(context):
    context.fleet = harness.Fleet()
    context.fleet.run(15)


@behave.given('the store is down')
def store_down(context):
    context.fleet.store_down = True


@behave.when('the fleet runs for {seconds:d} seconds')
def pass_time(context, seconds):
    context.fleet.run(seconds)


@behave.when('a chat runs to its end through router-0')
def chat_runs(context):
    ticket = context.fleet.admit('router-0')
    context.fleet.run(1)
    grant = granted(context, 'router-0', ticket)
    context.engine = grant.engine
    context.fleet.release('router-0', grant, tokens=300)
    context.fleet.run(1)


@behave.when('the same chat asks again through router-1')
def chat_returns(context):
    ticket = context.fleet.admit('router-1')
    context.fleet.run(1)
    context.grant = granted(context, 'router-1', ticket)


@behave.then('it gets the engine of its last turn')
def same_engine(context):
    assert context.grant.engine == context.engine
    assert 'last engine' in context.grant.reason


@behave.when('{count:d} chats ask through the routers in turn')
def many_ask(context, count):
    context.fleet.sent_to.clear()
    context.asked = []
    for number in range(count):
        name = f'router-{number % 3}'
        ticket = context.fleet.admit(name, f'chat-{number}')
        context.asked.append((name, ticket))
    context.fleet.run(12)


@behave.then('no engine runs more than the cap of its owner')
def within_cap(context):
    total = sum(context.fleet.running.values())
    cap = max(1, -(-round(1150 * total) // (1000 * len(context.fleet.running))))
    assert max(context.fleet.running.values()) <= cap, context.fleet.running


@behave.then('every chat has an outcome')
def all_decided(context):
    for name, ticket in context.asked:
        assert context.fleet.outcome(name, ticket) is not None


@behave.when('the owner of engine-0 dies')
def owner_dies(context):
    core = context.fleet.nodes['router-0'].core
    context.owner = core.chats.owners_of('engine-0')[0]
    context.fleet.nodes.pop(context.owner)
    context.fleet.listed.pop(context.owner)
    context.fleet.run(5)
    context.fleet.publish_hosts()


@behave.when('a chat asks for engine-0 through another router')
def ask_for_engine(context):
    context.name = next(iter(context.fleet.nodes))
    context.ticket = context.fleet.admit(
        context.name, avoid=('engine-1',), resumed=True
    )
    context.fleet.run(3)


@behave.then('it is granted')
def is_granted(context):
    assert granted(context, context.name, context.ticket).engine == 'engine-0'


@behave.when(
    'router-0 is cut off one way while its chat is being admitted elsewhere',
)
def one_way_cut(context):
    for other in ('router-1', 'router-2'):
        context.fleet.cut(other, 'router-0', both=False)
    for number in range(4):
        ticket = context.fleet.admit('router-0', f'cut-{number}', deadline_s=2)
    context.fleet.run(2)
    context.fleet.cuts.clear()
    node = context.fleet.nodes['router-0']
    for ticket, outcome in list(node.outcomes.items()):
        if outcome.is_ok():
            grant = outcome.ok_value.grant
            context.fleet.release('router-0', grant)


@behave.then('no owner counts a running request')
def none_running(context):
    for node in context.fleet.nodes.values():
        for parts in node.core.chats.models.values():
            for engine in parts.engines:
                assert not parts.owner.holds.count(engine), (
                    node.name,
                    engine,
                )


@behave.when('engine-0 says through router-0 that it is leaving')
def says_leaving(context):
    failure = core_api.Failure(
        'engine-0',
        'models/basking',
        core_api.AttemptEnd.REFUSED,
        'r',
        'm',
        leaving=True,
    )
    context.fleet.do(
        'router-0', lambda core, now: core.record_failure(failure, now)
    )


@behave.then('engine-0 got none of them')
def none_to_leaving(context):
    engines = {engine for _, engine in context.fleet.sent_to}
    assert engines == {'engine-1'}, engines


@behave.when('a request crashes the engines that run it twice')
def crash_twice(context):
    context.crashed = []
    for _ in range(2):
        ticket = context.fleet.admit(
            'router-0', mark='culprit', avoid=tuple(context.crashed)
        )
        context.fleet.run(3)
        grant = granted(context, 'router-0', ticket)
        context.crashed.append(grant.engine)
        context.fleet.release('router-0', grant, core_api.AttemptEnd.CRASHED)
        context.fleet.run(3)
    assert len(set(context.crashed)) == 2


@behave.then('every router refuses that request and names {setting}')
def refused_everywhere(context, setting):
    for name in context.fleet.nodes:
        ticket = context.fleet.admit(name, mark='culprit')
        problem = context.fleet.outcome(name, ticket).err_value
        assert problem.setting == setting, problem
        assert problem.verdict == errors.Verdict.NOT_RUN.value


@behave.when('router-1 starts again at once')
def starts_at_once(context):
    context.fleet.boot('router-1')
    context.fleet.run(8)


@behave.when('router-1 starts again after {seconds:d} s')
def starts_later(context, seconds):
    context.fleet.nodes.pop('router-1')
    context.fleet.run(seconds)
    context.fleet.boot('router-1')
    context.fleet.run(8)


@behave.when('a call crashes the two replicas of a service')
def call_crashes(context):
    for number in range(2):
        failure = core_api.Failure(
            f'reminder-{number}',
            'services/reminder',
            core_api.AttemptEnd.CRASHED,
            f'call-{number}',
            'culprit',
        )
        context.fleet.do(
            'router-0',
            lambda core, now, known=failure: core.record_failure(known, now),
        )


@behave.then('every router refuses that call and admits another')
def call_refused(context):
    for node in context.fleet.nodes.values():
        now = context.fleet.now
        problem = node.core.chats.refusal('gecko-house', 'culprit', now)
        assert problem.setting == 'quarantine.crash_limit', problem
        assert node.core.chats.refusal('gecko-house', 'other', now) is None


@behave.then('another chat of the organisation is granted')
def other_granted(context):
    ticket = context.fleet.admit('router-1', 'other', mark='innocent')
    context.fleet.run(6)
    granted(context, 'router-1', ticket)


@behave.when('an edit lists its fingerprint in quarantine.released')
def release_fingerprint(context):
    commit(
        context,
        'fleet',
        '{"settings": {"quarantine": {"released": ["culprit"]}}}',
    )


@behave.then('every router admits that request')
def admitted_everywhere(context):
    for name in context.fleet.nodes:
        ticket = context.fleet.admit(name, f'chat-{name}', mark='culprit')
        context.fleet.run(8)
        context.fleet.release(name, granted(context, name, ticket))


@behave.when('the same key is claimed through router-0 and router-1')
def claim_twice(context):
    shared = key(context)
    context.tickets = [
        (name, context.fleet.claim(name, shared))
        for name in ('router-0', 'router-1')
    ]


@behave.then('exactly one of the claims is granted')
def one_granted(context):
    states = [
        context.fleet.outcome(name, ticket).ok_value.state
        for name, ticket in context.tickets
    ]
    assert states.count(core_api.ClaimState.GRANTED) == 1, states


@behave.when('a call runs through router-0')
def call_runs(context):
    context.key = key(context)
    ticket = context.fleet.claim('router-0', context.key)
    context.fleet.run(1)
    claim = context.fleet.outcome('router-0', ticket).ok_value
    assert claim.state is core_api.ClaimState.GRANTED
    context.fleet.record('router-0', ticket)
    context.fleet.run(3)


@behave.when('the same key is claimed through router-2')
def claim_again(context):
    context.ticket = context.fleet.claim('router-2', context.key)
    context.fleet.run(2)


@behave.then('the repeat on the other router gets the recorded answer')
def recorded_answer(context):
    claim = context.fleet.outcome('router-2', context.ticket).ok_value
    assert claim.state is core_api.ClaimState.RAN, claim
    assert (claim.status, claim.content) == (200, b'logged')


@behave.then('both claims are refused as not run')
def both_refused(context):
    for name, ticket in context.tickets:
        problem = context.fleet.outcome(name, ticket).err_value
        assert problem.verdict == errors.Verdict.NOT_RUN.value
        assert problem.setting == 'service.checks_keys'


@behave.when('an edit sets placement.load_multiple to 1.5 for the model')
def edit_multiple(context):
    commit(
        context,
        'models/basking',
        '{"settings": {"placement": {"load_multiple": 1.5}}}',
    )


@behave.then('every router has that version')
def same_version(context):
    for node in context.fleet.nodes.values():
        settings = node.current.snapshot
        assert settings.version == context.version, node.name
        found = settings.resolve(
            'placement.load_multiple', target='models/basking'
        )
        assert found.value == 1.5 and found.branch == 'models/basking'


@behave.when('router-1 starts again while the store is down')
def restart(context):
    context.fleet.store_down = True
    context.fleet.run(2)
    context.fleet.boot('router-1')
    context.fleet.do(
        'router-1',
        lambda core, now: admission_client.Effects(
            core.settings.handle_store_unavailable(now)
        ),
    )
    context.fleet.run(1)
    context.fleet.do(
        'router-1',
        lambda core, now: admission_client.Effects(
            core.settings.handle_store_unavailable(now)
        ),
    )


@behave.when('a chat runs to its end through its home')
def chat_at_home(context):
    context.home = hashing.highest_ranked('chat-1', context.fleet.nodes)
    ticket = context.fleet.admit(context.home)
    context.fleet.run(1)
    grant = granted(context, context.home, ticket)
    context.engine = grant.engine
    context.fleet.release(context.home, grant, tokens=300)
    context.fleet.run(1)


@behave.when('its home hands over and stops')
def hand_over(context):
    context.fleet.do(
        context.home,
        lambda core, now: admission_client.Effects(core.chats.handover()),
    )
    context.fleet.run(1)
    context.fleet.do(
        context.home,
        lambda core, now: admission_client.Effects(
            core.members.announce_stopped(now)
        ),
    )
    context.fleet.run(1)
    context.fleet.nodes.pop(context.home)
    context.fleet.run(2)


@behave.then('its next home gives the engine of its last turn')
def next_home(context):
    heir = hashing.highest_ranked('chat-1', context.fleet.nodes)
    parts = context.fleet.nodes[heir].core.chats.models['basking']
    kept = parts.home.hint('chat-1')
    assert kept is not None and kept.engine == context.engine


@behave.when('that router starts again')
def starts_again(context):
    context.fleet.run(8)
    context.fleet.boot(context.home)
    context.fleet.run(5)


@behave.then("it gives the engine of the chat's last turn")
def hint_given_back(context):
    parts = context.fleet.nodes[context.home].core.chats.models['basking']
    kept = parts.home.hint('chat-1')
    assert kept is not None and kept.engine == context.engine


@behave.when('its home announces that it leaves')
def announces(context):
    context.fleet.do(
        context.home,
        lambda core, now: admission_client.Effects(
            core.members.announce_leaving(now)
        ),
    )
    context.fleet.run(3)


@behave.then('every router still names it as home')
def still_home(context):
    for node in context.fleet.nodes.values():
        assert node.core.chats.home_of('chat-1') == context.home
        entry = node.core.members.table.get(context.home)
        assert entry.leaving or node.name == context.home


@behave.when('all places are taken and requests with priority 1 and 8 wait')
def place_taken(context):
    context.fleet = harness.Fleet(engines=1)
    context.fleet.run(15)
    commit(
        context,
        'models/basking',
        '{"settings": {"placement": {"most_running": 8}}}',
    )
    context.fleet.run(1)
    # One of the eight places is kept for other organisations.
    for number in range(7):
        ticket = context.fleet.admit('router-0', f'first-{number}')
        context.fleet.run(1)
        context.held = granted(context, 'router-0', ticket)
    context.waiting = {}
    for priority in (1, 8):
        context.waiting[priority] = context.fleet.admit(
            'router-0', f'second-{priority}', priority=priority, deadline_s=30
        )
        context.fleet.run(0.1)


@behave.when('one place becomes free')
def place_free(context):
    context.fleet.run(1.5)
    outcomes = context.fleet.nodes['router-0'].outcomes
    assert not any(ticket in outcomes for ticket in context.waiting.values())
    context.fleet.release('router-0', context.held)
    context.fleet.run(1)


@behave.then('the request with priority 8 is granted and the other one waits')
def urgent_first(context):
    granted(context, 'router-0', context.waiting[8])
    assert context.fleet.outcome('router-0', context.waiting[1]) is None


@behave.when('an edit sets placement.most_running to 1 for the model')
def one_place(context):
    commit(
        context,
        'models/basking',
        '{"settings": {"placement": {"most_running": 1}}}',
    )
    context.fleet.run(1)
    context.fleet.sent_to.clear()


@behave.then('the engine had one request')
def had_one(context):
    assert [engine for _, engine in context.fleet.sent_to] == [context.engine]


def known_loads(context):
    return [
        node.core.chats.models['basking']
        .owner.loads.estimate(context.fleet.now)
        .known
        for node in context.others
    ]


@behave.when('a chat that runs ends at a moment without a round of reports')
def ends_between_rounds(context):
    ticket = context.fleet.admit('router-0')
    context.fleet.run(2)
    grant = granted(context, 'router-0', ticket)
    context.owner = context.fleet.nodes['router-0'].core.chats.owners_of(
        grant.engine
    )[0]
    for node in context.fleet.nodes.values():
        node.core._loads._due = float('inf')
    context.others = [
        node
        for node in context.fleet.nodes.values()
        if node.name != context.owner
    ]
    assert known_loads(context) == [1, 1]
    context.fleet.release('router-0', grant)


@behave.then('every other router knows the lower load within 0.2 seconds')
def load_known(context):
    # Messages of the harness arrive at steps of 0.05 s, and there are three.
    context.fleet.run(0.2)
    assert known_loads(context) == [0, 0], known_loads(context)
