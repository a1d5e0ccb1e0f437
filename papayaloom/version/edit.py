"""Edits of the settings by compare-and-swap on the log.

The creation of ``settings/log/<n>`` commits version n. An edit is never
applied twice: after a lost reply the editor reads the same key back and
compares the edit's identifier, and it moves on to the next version only
when a record of somebody else stands there.

Reads may be stale, but by fewer versions than the log keeps (thousands).
"""

import random
import typing
import uuid

import msgspec
import result

from papayaloom import clock, errors, ids
from papayaloom.ports import kv
from papayaloom.version import (
    change,
    compaction,
    document,
    log,
    schema,
    snapshot,
    tree,
)

# Each lost race means that another edit was accepted.
_MAX_RACES = 64


class Cfg(msgspec.Struct, frozen=True):
    """What an editor needs to know.

    :param upkeep: when to write the full state and what to trim.
    :param attempts: how often a call to the store is tried.
    :param backoff_s: longest wait before the first retry; doubles.
    """

    upkeep: compaction.Cfg = compaction.Cfg()
    attempts: int = 5
    backoff_s: float = 0.1


class Committed(msgspec.Struct, frozen=True):
    """An accepted edit."""

    version: ids.SettingsVersion
    digest: str
    edit_id: str
    branch: str


class _Draft(msgspec.Struct, frozen=True):
    edit_id: str
    branch: str
    base_version: int
    text: str
    checked: document.Document
    removed: bool


class Editor:
    """Edits the settings in a store.

    :param store: the key-value service.
    :param author: who edits, for the history.
    :param now: source of the time in the history.
    :param rng: source of edit identifiers and of the backoff's jitter.
    :param sleep: waits before a retry, in seconds.
    :param known: the declared settings.
    """

    def __init__(
        self,
        store: kv.Kv,
        author: str,
        now: clock.Clock,
        rng: random.Random,
        sleep: typing.Callable[[float], None],
        cfg: Cfg | None = None,
        known: schema.Schema | None = None,
    ) -> None:
        """Keep the collaborators; reads nothing yet."""
        self._store = store
        self._author = author
        self._clock = now
        self._rng = rng
        self._sleep = sleep
        self._cfg = cfg or Cfg()
        self._schema = known

    def read(self, since: snapshot.Snapshot | None = None) -> log.State:
        """Return the newest settings in the store.

        :raises errors.StoreUnavailableError: the store did not answer.
        """
        return self._retry(lambda: log.read(self._store, since, self._schema))

    def text(self, current: snapshot.Snapshot, branch: str) -> str:
        """Return the document of a branch, empty when it does not exist."""
        return self._retry(lambda: log.text(self._store, current, branch))

    def commit(self, branch: str, text: str, base_version: int) -> Committed:
        """Replace the document of a branch.

        :param base_version: version of the branch that the text is based
            on, 0 when the branch did not exist.
        :raises errors.SettingsError: the document is refused.
        :raises errors.ConflictError: the branch has another version now.
        :raises errors.StoreUnavailableError: the store did not answer; the
            edit may have taken effect.
        """
        parsed = document.parse(text, branch, self._schema)
        if isinstance(parsed, result.Err):
            raise refused(branch, parsed.err_value)
        return self._commit(branch, base_version, text, parsed.ok_value)

    def remove(self, branch: str, base_version: int) -> Committed:
        """Remove a branch.

        :raises errors.SettingsError: it is the root, it does not exist, or
            another branch names it as its parent.
        :raises errors.ConflictError: the branch has another version now.
        :raises errors.StoreUnavailableError: the store did not answer; the
            edit may have taken effect.
        """
        nothing = document.Document('', {}, {})
        return self._commit(branch, base_version, '', nothing, removed=True)

    def _commit(
        self,
        branch: str,
        base_version: int,
        text: str,
        checked: document.Document,
        *,
        removed: bool = False,
    ) -> Committed:
        edit_id = uuid.UUID(int=self._rng.getrandbits(128), version=4).hex
        draft = _Draft(edit_id, branch, base_version, text, checked, removed)
        state = self.read()
        current = state.snapshot
        if current.version < base_version:
            raise errors.StoreUnavailableError(
                f'the store answered with version {current.version}, older '
                f'than the base version {base_version} of the edit',
            )
        for _ in range(_MAX_RACES):
            record = self._record(draft, current)
            found = self._place(record)
            if found is None:
                current = self.read().snapshot
            elif found.edit_id == edit_id:
                compaction.run(
                    self._store,
                    current.apply(found.delta()),
                    state.full_version,
                    self._cfg.upkeep,
                )
                return Committed(found.version, found.digest, edit_id, branch)
            else:
                current = self._rebase(current, found)
        raise errors.SettingsError(
            f'the edit of {branch} lost {_MAX_RACES} races against other edits',
        )

    def _rebase(
        self,
        current: snapshot.Snapshot,
        found: change.Change,
    ) -> snapshot.Snapshot:
        try:
            return current.apply(found.delta())
        except errors.SettingsError:
            # The state was old enough for its successors to be trimmed.
            return self.read().snapshot

    def _record(
        self,
        draft: _Draft,
        current: snapshot.Snapshot,
    ) -> change.Change:
        self._check_base(draft, current)
        _check_tree(draft, current)
        parent, settings = draft.checked.parent, draft.checked.settings
        record = change.Change(
            version=ids.SettingsVersion(current.version + 1),
            edit_id=draft.edit_id,
            author=self._author,
            at_unix_ms=self._clock.unix_ms(),
            branch=draft.branch,
            base_version=ids.SettingsVersion(draft.base_version),
            text=draft.text,
            settings=settings,
            parent=parent,
            parent_digest=current.digest,
            digest=change.digest(
                current.digest,
                draft.branch,
                parent,
                settings,
                removed=draft.removed,
            ),
            removed=draft.removed,
        )
        _check_size('the edit', change.encode(record))
        _check_size(
            'the whole settings tree',
            current.apply(record.delta()).encode(),
        )
        return record

    def _check_base(self, draft: _Draft, current: snapshot.Snapshot) -> None:
        state = current.branches.get(draft.branch)
        version = state.version if state else change.NO_VERSION
        if version == draft.base_version:
            return
        try:
            theirs = self.text(current, draft.branch)
        except errors.PapayaloomError:
            # The conflict is certain even when its text is out of reach.
            theirs = ''
        raise errors.ConflictError(
            f'branch {draft.branch} has version {version}, but the edit '
            f'is based on version {draft.base_version}',
            version,
            theirs,
            draft.text,
        )

    def _place(self, record: change.Change) -> change.Change | None:
        """Create a record, or return the one that stands in its place.

        :returns: nothing when the place lies in the trimmed part of the log.
        """
        try:
            found = self._create(record)
            if self._retry(lambda: self._is_trimmed(found)):
                return None
        except errors.StoreUnavailableError as exc:
            raise errors.StoreUnavailableError(
                f'edit {record.edit_id} of {record.branch} may have taken '
                f'effect as version {record.version}: {exc}',
            ) from exc
        return found

    def _create(self, record: change.Change) -> change.Change:
        try:
            return self._put(record)
        except errors.StoreUnavailableError:
            self._sleep(self._rng.uniform(0, self._cfg.backoff_s))
        return self._retry(
            lambda: self._read_back(record) or self._put(record),
        )

    def _put(self, record: change.Change) -> change.Change:
        written = self._store.put(
            log.key(record.version),
            change.encode(record),
            kv.ABSENT,
        )
        if written.done:
            return record
        if written.current is None:
            raise errors.StoreUnavailableError(
                f'the store refused to create {log.key(record.version)}, '
                'which does not exist',
            )
        return change.decode(written.current.value)

    def _read_back(self, record: change.Change) -> change.Change | None:
        """Return what stands in the place of a write that got no reply."""
        entry = self._store.get(log.key(record.version))
        return change.decode(entry.value) if entry else None

    def _is_trimmed(self, found: change.Change) -> bool:
        """Remove a record that was created where the log is trimmed.

        An editor that was paused for longer than the log is kept would
        otherwise create a record that no reader ever sees.
        """
        trimmed, _ = compaction.trimmed(self._store)
        if trimmed < found.version:
            return False
        entry = self._store.get(log.key(found.version))
        if entry is not None:
            self._store.delete(entry.key, entry.revision)
        return True

    def _retry(self, call: typing.Callable[[], '_Answer']) -> '_Answer':
        for attempt in range(self._cfg.attempts - 1):
            try:
                return call()
            except errors.StoreUnavailableError:
                longest = self._cfg.backoff_s * 2**attempt
                self._sleep(self._rng.uniform(0, longest))
        return call()


_Answer = typing.TypeVar('_Answer')


def refused(
    branch: str,
    refusals: tuple[document.Refusal, ...],
) -> errors.SettingsError:
    """Return the error for a refused document."""
    lines = '\n'.join(f'  {refusal}' for refusal in refusals)
    return errors.SettingsError(
        f'the document of {branch} is refused:\n{lines}',
        refusals,
    )


def check(
    branch: str,
    text: str,
    current: snapshot.Snapshot,
    known: schema.Schema | None = None,
) -> document.Document:
    """Check a document as an edit would, without an edit.

    :param current: the settings that the branch would become part of.
    :returns: the checked document.
    :raises errors.SettingsError: an edit would be refused.
    """
    parsed = document.parse(text, branch, known)
    if isinstance(parsed, result.Err):
        raise refused(branch, parsed.err_value)
    checked = parsed.ok_value
    _check_parent(branch, checked, text, current)
    return checked


def _check_parent(
    branch: str,
    checked: document.Document,
    text: str,
    current: snapshot.Snapshot,
) -> None:
    try:
        tree.check_parent(branch, checked.parent, current.parents)
    except errors.SettingsError as exc:
        line = document.member_line(text, 'parent')
        raise refused(
            branch,
            (
                document.Refusal(
                    'parent',
                    line,
                    f'is refused: {exc}',
                    'an existing branch of the same family, without a cycle',
                ),
            ),
        ) from exc


def _check_tree(draft: _Draft, current: snapshot.Snapshot) -> None:
    branch = draft.branch
    if not draft.removed:
        _check_parent(branch, draft.checked, draft.text, current)
        return
    if branch == tree.ROOT:
        raise errors.SettingsError('the root fleet cannot be removed')
    if branch not in current.branches:
        raise errors.SettingsError(f'branch {branch} does not exist')
    children = [
        name for name, parent in current.parents.items() if parent == branch
    ]
    if children:
        raise errors.SettingsError(
            f'branch {branch} is the parent of {children[0]}',
        )


def _check_size(what: str, content: bytes) -> None:
    if len(content) > kv.MAX_VALUE_BYTES:
        raise errors.SettingsError(
            f'{what} would take {len(content)} bytes in the store '
            f'(accepted: at most {kv.MAX_VALUE_BYTES} bytes)',
        )
