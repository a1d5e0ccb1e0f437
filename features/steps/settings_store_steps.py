import random

import behave

from features import settings_sample
from features.machines import settings_store
from papayaloom import errors
from papayaloom.standins import kv as twin
from papayaloom.version import compaction, edit, settings_log, snapshot

SCHEMA = settings_sample.SCHEMA
WHO = {'first': 0, 'second': 1}


def make_editor(context, number, **upkeep):
    return edit.Editor(
        context.stores[number],
        f'editor-{number}',
        context.clock,
        random.Random(number),
        context.clock.advance,
        edit.Cfg(upkeep=compaction.Cfg(**upkeep)),
        SCHEMA,
    )


def newest(context):
    context.twin.faults = twin.Faults()
    return settings_log.read(context.twin, None, SCHEMA).snapshot


def version_of(context, number, branch):
    branches = context.editors[number].read().snapshot.branches
    return branches[branch].version if branch in branches else 0


def make_edit(context, number, branch, text, base=None):
    if base is None:
        base = version_of(context, number, branch)
    try:
        context.made = context.editors[number].commit(branch, text, base)
    except errors.PapayaloomError as exc:
        context.made = exc


@behave.given('two editors that know the test settings')
def two_editors(context):
    context.stores = [settings_store.Racing(context.twin) for _ in range(2)]
    context.editors = [make_editor(context, number) for number in range(2)]


@behave.given('"{branch}" was edited to "{text}"')
def was_edited(context, branch, text):
    make_edit(context, 0, branch, text)
    assert context.made.branch == branch


@behave.when('the {who} editor edits "{branch}" to "{text}"')
def edits(context, who, branch, text):
    make_edit(context, WHO[who], branch, text)


@behave.when(
    'at version {base:d} the {who} editor changes "{branch}" to "{text}"'
)
def edits_on(context, base, who, branch, text):
    make_edit(context, WHO[who], branch, text, base)


@behave.when('the first editor writes {count:d} empty lines to "{branch}"')
def edits_long(context, count, branch):
    make_edit(context, 0, branch, '{}' + '\n' * count)


@behave.when(
    'the second editor changes "{branch}" to "{text}" '
    'while the first changes "{other}" to "{other_text}"'
)
def race(context, branch, text, other, other_text):
    context.stores[0].before_put = lambda: make_edit(context, 1, branch, text)
    make_edit(context, 0, other, other_text)


@behave.when(
    'the replies stop while the first editor changes "{branch}" to "{text}"'
)
def replies_stop(context, branch, text):
    def stop():
        context.twin.faults = twin.Faults(drop_reply=1000)

    context.stores[0].before_put = stop
    make_edit(context, 0, branch, text)


@behave.when('the first editor removes "{branch}"')
def removes(context, branch):
    base = version_of(context, 0, branch)
    try:
        context.made = context.editors[0].remove(branch, base)
    except errors.SettingsError as exc:
        context.made = exc


@behave.when('"{branch}" is edited {count:d} times keeping {kept:d} versions')
def edit_often(context, branch, count, kept):
    context.editors[0] = make_editor(context, 0, kept_versions=kept)
    context.old = newest(context)
    first = settings_log.read_record(context.twin, 1).delta()
    context.old = snapshot.empty(SCHEMA).apply(first)
    for number in range(count):
        text = f'{{settings: {{test: {{rate: {number % 100}}}}}}}'
        make_edit(context, 0, branch, text)


@behave.when(
    'the first editor is overtaken by {count:d} edits '
    'while it writes version {version:d}'
)
def overtaken(context, count, version):
    for _ in range(version - 2):
        make_edit(context, 1, 'models/a', '{}')

    def overtake():
        for _ in range(count):
            make_edit(context, 1, 'models/b', '{}')

    def after_record():
        # The next write of the first editor is that of the full state.
        context.stores[0].before_put = overtake

    context.stores[0].before_put = after_record
    make_edit(context, 0, 'fleet', '{}')


@behave.then(
    'the edit is in conflict with version {version:d} '
    'and shows "{theirs}" and "{mine}"'
)
def conflict(context, version, theirs, mine):
    assert isinstance(context.made, errors.ConflictError), context.made
    assert context.made.version == version
    assert context.made.theirs.endswith(theirs)
    assert context.made.mine.endswith(mine)


@behave.then('the edit is accepted as version {version:d}')
def accepted(context, version):
    assert context.made.version == version, context.made


@behave.then('the edit is refused because "{reason}"')
def refused(context, reason):
    assert isinstance(context.made, errors.SettingsError), context.made
    assert reason in str(context.made), context.made


@behave.then('the edit may have taken effect as version {version:d}')
def may_have(context, version):
    assert isinstance(context.made, errors.StoreUnavailableError)
    assert f'may have taken effect as version {version}' in str(context.made)


@behave.then('"{path}" of "{branch}" is {value:g}')
def value_is(context, path, branch, value):
    assert newest(context).resolve_at(path, branch).value == value


@behave.then('the log has {count:d} versions')
def log_has(context, count):
    assert newest(context).version == count
    context.clock.advance(60)
    assert newest(context).version == count, 'a late write took effect'


@behave.then('the log holds at most {count:d} records')
def log_holds(context, count):
    held = len(context.twin.list_prefix(settings_log.PREFIX).entries)
    assert held <= count, held


@behave.then('the text of "{branch}" is "{text}"')
def text_is(context, branch, text):
    assert settings_log.read_text(context.twin, newest(context), branch) == text


@behave.then('a reader that was at version 1 reads version {version:d}')
def old_reader(context, version):
    assert context.old.version == 1
    read = settings_log.read(context.twin, context.old, SCHEMA)
    assert read.snapshot.version == version
    assert read.snapshot.digest == newest(context).digest


@behave.then('the full state has a version of at least {version:d}')
def full_version(context, version):
    assert (
        settings_log.read_full_state(context.twin, SCHEMA)[0].version >= version
    )


@behave.then('a fresh reader reads what the log says')
def fresh_reader(context):
    replayed = snapshot.empty(SCHEMA)
    for entry in context.twin.list_prefix(settings_log.PREFIX).entries:
        record = settings_log.change.decode(entry.value)
        replayed = replayed.apply(record.delta())
    fresh = newest(context)
    assert (fresh.version, fresh.digest) == (replayed.version, replayed.digest)
    assert fresh.branches == replayed.branches


def describe(changes):
    return ', '.join(
        f'{made.version} {made.branch} {made.author}' for made in changes
    )


@behave.then('the history of every branch is "{expected}"')
def history_all(context, expected):
    found = describe(settings_log.history(context.twin, newest(context)))
    assert found == expected, found


@behave.then('the history of "{branch}" is "{expected}"')
def history_branch(context, branch, expected):
    found = describe(
        settings_log.history(context.twin, newest(context), branch)
    )
    assert found == expected, found


@behave.then('the diff of {old:d} and {new:d} is "{expected}"')
def diff_is(context, old, new, expected):
    found = ', '.join(
        f'{one.branch} {one.path} {one.old} {one.new}'
        for one in settings_log.diff(context.twin, old, new)
    )
    assert found == expected, found


@behave.then('the branches are "{names}"')
def branches_are(context, names):
    assert ', '.join(newest(context).branches) == names


@behave.then(
    'the state machine finds nothing in {runs:d} runs of {steps:d} steps'
)
def machine(context, runs, steps):
    settings_store.run(examples=runs, steps=steps)


@behave.then('the state machine finds "{finding}" in {fault}')
def machine_finds(context, finding, fault):
    try:
        settings_store.run(getattr(settings_store, fault))
    except AssertionError as exc:
        assert finding in str(exc), exc
        return
    raise AssertionError('the state machine found nothing')
