import behave

from papayaloom import hashing


@behave.given('{count:d} hosts and {chats:d} chats')
def hosts_and_chats(context, count, chats):
    context.hosts = [f'router-{number}' for number in range(count)]
    context.chats = [f'chat-{number}' for number in range(chats)]
    context.before = {
        chat: hashing.highest_ranked(chat, context.hosts)
        for chat in context.chats
    }


@behave.when('one host is removed')
def remove_host(context):
    context.removed = context.hosts.pop()
    context.after = {
        chat: hashing.highest_ranked(chat, context.hosts)
        for chat in context.chats
    }


@behave.then('only the chats of that host have a new home')
def only_its_chats_move(context):
    for chat in context.chats:
        moved = context.before[chat] != context.after[chat]
        assert moved == (context.before[chat] == context.removed)


@behave.given('a ring of {count:d} engines')
def ring_of_engines(context, count):
    context.engines = [f'engine-{number}' for number in range(count)]
    context.keys = [f'chat-{number}' for number in range(2000)]
    ring = hashing.Ring(context.engines)
    context.before = {key: ring.candidates(key, 4) for key in context.keys}


@behave.when('one engine leaves the ring')
def engine_leaves(context):
    context.removed = context.engines.pop()
    ring = hashing.Ring(context.engines)
    context.after = {key: ring.candidates(key, 4) for key in context.keys}


@behave.then(
    'keys that did not have it as first candidate keep their first candidate',
)
def first_candidate_kept(context):
    for key in context.keys:
        before = [e for e in context.before[key] if e != context.removed]
        assert context.after[key][: len(before)] == before
