import random

import behave
import msgspec

from features.machines import distribution_machine
from papayaloom import messages
from papayaloom.bench import fleet_simulation
from papayaloom.process import current_settings, dissemination
from papayaloom.version import change, snapshot

ME = fleet_simulation.make_member(0, 4).router
PEERS = [fleet_simulation.make_member(number, 4).router for number in (1, 2, 3)]


def make(me=ME, version=0, records=(), cfg=None):
    document = current_settings.CurrentSettings({})
    part = dissemination.Dissemination(
        cfg or dissemination.Cfg(),
        me,
        document,
        lambda: [
            fleet_simulation.make_member(number, 4) for number in range(4)
        ],
        random.Random(1),
    )
    if version:
        part.apply_from_store(records[:version], 0)
        assert document.head().version == version
    return part, document


def log_of(count):
    store = fleet_simulation.Store()
    for _ in range(count):
        store.commit(0)
    return store.records


def state_of(records):
    state = snapshot.empty({})
    for record in records:
        state = state.apply(change.decode_delta(record))
    return state


@behave.given('a router with settings version {version:d}')
def router_with(context, version):
    context.records = log_of(version)
    context.part, context.document = make(
        version=version, records=context.records
    )
    context.head = context.document.head()


def chunk_of(state, content):
    return messages.SettingsChunk(state.version, state.digest, 0, 1, content)


def meet(context, cause):
    old = state_of(context.records[:4])
    part, record = context.part, context.records[3]
    forged = change.encode_delta(
        change.Delta(10, 'organisations/forged', '', {}, 'f' * 32)
    )
    if cause == 'an old watch event':
        return part.apply_from_store((record,), 1)
    if cause == 'an old full state of the store':
        return part.apply_full_from_store(old.encode(), 1)
    incoming = {
        'an old change of a peer': messages.SettingsDelta((record,)),
        'an old full state of a peer': chunk_of(old, old.encode()),
        'a peer that is behind': messages.Gossip(
            (), messages.Digest(4, old.digest)
        ),
        'a change of another history': messages.SettingsDelta((forged,)),
        'a malformed change': messages.SettingsDelta((b'\xc1', record[:-3])),
        'a full state that is cut': messages.SettingsChunk(
            10, 'f' * 32, 0, 1, old.encode()[:-4]
        ),
    }
    return part.handle(PEERS[0], incoming[cause], 1)


@behave.when('it meets {cause}')
def meets(context, cause):
    meet(context, cause)


@behave.then('it still has version {version:d} with the same digest')
def still_has(context, version):
    assert context.document.head() == context.head
    assert context.head.version == version


@behave.given(
    'a router with settings version 0 that asks a peer with version {version:d}'
)
def far_behind(context, version):
    records = log_of(version)
    cfg = dissemination.Cfg(chunk_bytes=512, kept_bytes=4000)
    context.parts = {
        ME: make(cfg=cfg),
        PEERS[0]: make(PEERS[0], version, records, cfg),
    }
    context.version = version


def exchange(context, seconds, lost=lambda number: False, silent=()):
    """Deliver messages for some seconds, a digest each second."""
    number = 0
    for step in range(seconds * 10):
        now = 1 + step / 10
        queue = []
        for name, (part, document) in context.parts.items():
            queue += [(name, send) for send in part.tick(now)]
            if step % 10 == 5 and name != ME and name not in silent:
                ping = messages.Gossip((), document.head())
                queue.append((name, messages.Send(ME, ping, 1)))
        if step == 0:
            queue += [(ME, send) for send in getattr(context, 'sends', ())]
        while queue:
            sender, send = queue.pop(0)
            number += 1
            if lost(number) or {sender, send.to} & set(silent):
                continue
            if send.to in context.parts:
                part = context.parts[send.to][0]
                replies = part.handle(sender, send.message, now)
                queue += [(send.to, reply) for reply in replies]


@behave.when('all messages but every seventh are delivered')
def lossy(context):
    exchange(context, 60, lambda number: number % 7 == 0)


@behave.then('it has the version of the peer')
def has_version(context):
    head = context.parts[ME][1].head()
    assert head.version == context.version, head
    assert head == context.parts[PEERS[0]][1].head()


@behave.given('a starting router and peers with the versions 5, 7 and 6')
def starting(context):
    records = log_of(7)
    context.parts = {ME: make()}
    for name, version in zip(PEERS, (5, 7, 6), strict=True):
        context.parts[name] = make(name, version, records)
    context.sends = context.parts[ME][0].handle_store_unavailable(1)


@behave.when('the store is down and the messages are delivered')
def store_down(context):
    exchange(context, 3)


@behave.then(
    'it has version {version:d} and its dump says that the source is a peer'
)
def from_peer(context, version):
    part, document = context.parts[ME]
    assert document.head().version == version
    assert part.dump(5).source == 'peer'


@behave.when('the store is down and only the peer with version 5 answers')
def one_answers(context):
    exchange(context, 3, silent=PEERS[1:])


@behave.then('after 2 seconds it has version 5')
def has_five(context):
    from_peer(context, 5)


@behave.given('{size:d} members in 6 zones')
def members(context, size):
    context.members = [
        fleet_simulation.make_member(number, size) for number in range(size)
    ]
    context.watchers = dissemination.watchers(context.members, 3)


@behave.then('the watchers are 3 members in 3 zones')
def three_zones(context):
    zones = {
        one.zone for one in context.members if one.router in context.watchers
    }
    assert len(context.watchers) == len(zones) == 3


@behave.then("the loss of a watcher changes no other watcher's duty")
def stable(context):
    lost = context.watchers[0]
    rest = [one for one in context.members if one.router != lost]
    assert set(context.watchers[1:]) <= set(dissemination.watchers(rest, 3))


@behave.then('a leaving member does not watch')
def leaving(context):
    me = context.watchers[0]
    marked = [
        msgspec.structs.replace(one, state=messages.MemberState.LEAVING)
        if one.router == me
        else one
        for one in context.members
    ]
    assert me not in dissemination.watchers(marked, 3)


@behave.given('a settled fleet of {size:d} routers with {percent:d}% loss')
def settled(context, size, percent):
    context.fleet = fleet_simulation.Fleet(size, percent / 100, seed=5)
    context.fleet.run(3)


@behave.when('a change is committed to the store')
def committed(context):
    context.fleet.commit()


@behave.then('all routers have it within {seconds:d} seconds')
def all_have_it(context, seconds):
    context.fleet.run(context.fleet.now + seconds)
    for router in context.fleet.routers.values():
        assert router.current.head().version == 1


@behave.then('the distribution machine passes')
def machine_passes(context):
    distribution_machine.run()


@behave.then('the distribution machine fails with {fault}')
def machine_fails(context, fault):
    try:
        distribution_machine.run(fault)
    except AssertionError:
        return
    raise AssertionError(f'{fault} was not found')
