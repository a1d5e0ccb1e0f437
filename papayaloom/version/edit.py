"""Edits of the settings by compare-and-swap on the log.

Creating ``settings/log/<n>`` commits version n. An edit is never applied
twice: after a lost reply, the editor reads the same key back and compares the
identifier of the edit. It tries the next version only if the key holds the
record of another edit.

Reads may be stale, but only by fewer versions than the log keeps (thousands).
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
    settings_log,
    schema,
    snapshot,
    tree,
)

# Each attempt fails only because another edit was committed.
_MAX_ATTEMPTS = 64


class Cfg(msgspec.Struct, frozen=True):
    """Configuration of an editor.

    :param upkeep: configuration of the compaction of the log.
    :param attempts: maximum number of attempts of a call to the store.
    :param backoff_s: maximum delay before the first retry; it doubles with
        each retry.
    """

    upkeep: compaction.Cfg = compaction.Cfg()
    attempts: int = 5
    backoff_s: float = 0.1


class CommittedEdit(msgspec.Struct, frozen=True):
    """A committed edit."""

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
    :param author: author of the edits, recorded in the history.
    :param now: clock for the times recorded in the history.
    :param rng: source of edit identifiers and backoff jitter.
    :param sleep: sleeps for a number of seconds before a retry.
    :param declared_settings: schema to validate against; by default, all
        declared settings.
    """

    def __init__(
        self,
        store: kv.Kv,
        author: str,
        now: clock.Clock,
        rng: random.Random,
        sleep: typing.Callable[[float], None],
        cfg: Cfg | None = None,
        declared_settings: schema.Schema | None = None,
    ) -> None:
        """Store the dependencies; reads nothing yet."""
        self._store = store
        self._author = author
        self._clock = now
        self._rng = rng
        self._sleep = sleep
        self._cfg = cfg or Cfg()
        self._schema = declared_settings

    def read(
        self, since: snapshot.Snapshot | None = None
    ) -> settings_log.State:
        """Return the newest settings in the store.

        :raises errors.StoreUnavailableError: the store did not answer.
        """
        return self._retry(
            lambda: settings_log.read(self._store, since, self._schema)
        )

    def text(self, current: snapshot.Snapshot, branch: str) -> str:
        """Return the document of a branch; empty if the branch does not exist."""
        return self._retry(
            lambda: settings_log.read_text(self._store, current, branch)
        )

    def commit(
        self, branch: str, text: str, base_version: int
    ) -> CommittedEdit:
        """Replace the document of a branch.

        :param base_version: version of the branch that the text is based
            on; 0 if the branch did not exist.
        :raises errors.SettingsError: the document is invalid.
        :raises errors.ConflictError: the branch has been changed since.
        :raises errors.StoreUnavailableError: the store did not answer; the
            edit may have taken effect.
        """
        parsed = document.parse(text, branch, self._schema)
        if isinstance(parsed, result.Err):
            raise invalid_document(branch, parsed.err_value)
        return self._commit(branch, base_version, text, parsed.ok_value)

    def remove(self, branch: str, base_version: int) -> CommittedEdit:
        """Remove a branch.

        :raises errors.SettingsError: the branch is the root, does not exist
            or is the parent of another branch.
        :raises errors.ConflictError: the branch has been changed since.
        :raises errors.StoreUnavailableError: the store did not answer; the
            edit may have taken effect.
        """
        empty = document.Document('', {}, {})
        return self._commit(branch, base_version, '', empty, removed=True)

    def _commit(
        self,
        branch: str,
        base_version: int,
        text: str,
        checked: document.Document,
        *,
        removed: bool = False,
    ) -> CommittedEdit:
        edit_id = uuid.UUID(int=self._rng.getrandbits(128), version=4).hex
        draft = _Draft(edit_id, branch, base_version, text, checked, removed)
        state = self.read()
        current = state.snapshot
        if current.version < base_version:
            raise errors.StoreUnavailableError(
                f'the store returned version {current.version}, which is older '
                f'than the base version {base_version} of the edit',
            )
        for _ in range(_MAX_ATTEMPTS):
            record = self._build_record(draft, current)
            found = self._create_or_read(record)
            if found is None:
                current = self.read().snapshot
            elif found.edit_id == edit_id:
                compaction.run(
                    self._store,
                    current.apply(found.delta()),
                    state.full_version,
                    self._cfg.upkeep,
                )
                return CommittedEdit(
                    found.version, found.digest, edit_id, branch
                )
            else:
                current = self._rebase(current, found)
        raise errors.SettingsError(
            f'the edit of {branch} was preempted by other edits '
            f'{_MAX_ATTEMPTS} times',
        )

    def _rebase(
        self,
        current: snapshot.Snapshot,
        found: change.Change,
    ) -> snapshot.Snapshot:
        try:
            return current.apply(found.delta())
        except errors.SettingsError:
            # The snapshot is so old that its successors have been trimmed.
            return self.read().snapshot

    def _build_record(
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
            # The conflict is certain even if the current text is unavailable.
            theirs = ''
        raise errors.ConflictError(
            f'branch {draft.branch} has version {version}, but the edit '
            f'is based on version {draft.base_version}',
            version,
            theirs,
            draft.text,
        )

    def _create_or_read(self, record: change.Change) -> change.Change | None:
        """Create a record, or return the existing record of its version.

        :returns: None if the version lies in the trimmed part of the log.
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
            settings_log.record_key(record.version),
            change.encode(record),
            kv.ABSENT,
        )
        if written.done:
            return record
        if written.current is None:
            raise errors.StoreUnavailableError(
                f'the store refused to create {settings_log.record_key(record.version)}, '
                'which does not exist',
            )
        return change.decode(written.current.value)

    def _read_back(self, record: change.Change) -> change.Change | None:
        """Return the existing record of a version after a lost reply."""
        entry = self._store.get(settings_log.record_key(record.version))
        return change.decode(entry.value) if entry else None

    def _is_trimmed(self, found: change.Change) -> bool:
        """Remove a record that was created in the trimmed part of the log.

        An editor that was paused for longer than records are kept would
        otherwise create a record that no reader ever sees.
        """
        trimmed_version, _ = compaction.read_trimmed_version(self._store)
        if trimmed_version < found.version:
            return False
        entry = self._store.get(settings_log.record_key(found.version))
        if entry is not None:
            self._store.delete(entry.key, entry.revision)
        return True

    def _retry(self, call: typing.Callable[[], '_Result']) -> '_Result':
        for attempt in range(self._cfg.attempts - 1):
            try:
                return call()
            except errors.StoreUnavailableError:
                max_delay_s = self._cfg.backoff_s * 2**attempt
                self._sleep(self._rng.uniform(0, max_delay_s))
        return call()


_Result = typing.TypeVar('_Result')


def invalid_document(
    branch: str,
    refusals: tuple[document.Refusal, ...],
) -> errors.SettingsError:
    """Return the error for an invalid document."""
    lines = '\n'.join(f'  {refusal}' for refusal in refusals)
    return errors.SettingsError(
        f'the document of {branch} is invalid:\n{lines}',
        refusals,
    )


def check(
    branch: str,
    text: str,
    current: snapshot.Snapshot,
    declared_settings: schema.Schema | None = None,
) -> document.Document:
    """Validate a document without committing it.

    :param current: settings that the branch would become part of.
    :returns: the validated document.
    :raises errors.SettingsError: the document would be rejected.
    """
    parsed = document.parse(text, branch, declared_settings)
    if isinstance(parsed, result.Err):
        raise invalid_document(branch, parsed.err_value)
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
        raise invalid_document(
            branch,
            (
                document.Refusal(
                    'parent',
                    line,
                    f'is invalid: {exc}',
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
        raise errors.SettingsError('the root branch fleet cannot be removed')
    if branch not in current.branches:
        raise errors.SettingsError(f'branch {branch} does not exist')
    children = [
        name for name, parent in current.parents.items() if parent == branch
    ]
    if children:
        raise errors.SettingsError(
            f'branch {branch} is the parent of {children[0]}',
        )


def _check_size(subject: str, content: bytes) -> None:
    if len(content) > kv.MAX_VALUE_BYTES:
        raise errors.SettingsError(
            f'{subject} would take {len(content)} bytes in the store '
            f'(accepted: at most {kv.MAX_VALUE_BYTES} bytes)',
        )
