"""Common options of the operator's commands and their sources."""

import getpass
import os
import pathlib
import random
import time
import typing

import json5
import msgspec

from papayaloom import clock, errors
from papayaloom.ports import kv
from papayaloom.version import compaction, edit, snapshot

CONFIG_VARIABLE = 'PAPAYALOOM_CONFIG'


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Options of a command, or fields of the configuration file.

    :param store: URL of the key-value service.
    :param routers: URLs of the routers.
    :param author: author of the edits; the name of the user by default.
    :param timeout_s: timeout of one request.
    """

    store: str = ''
    routers: tuple[str, ...] = ()
    author: str = ''
    timeout_s: typing.Annotated[float, msgspec.Meta(gt=0)] = 2.0

    def kv(self) -> kv.Kv:
        """Return a client of the store.

        :raises errors.SettingsError: no store is configured.
        """
        if not self.store:
            raise errors.SettingsError(
                'the address of the store is missing: give --store=URL, or '
                f'name a file with it in {CONFIG_VARIABLE}',
            )
        return kv.HttpKv(self.store, self.timeout_s)

    def editor(self, current: snapshot.Snapshot | None = None) -> edit.Editor:
        """Return an editor of the store.

        :param current: settings that configure the editor itself.
        """
        compaction_cfg = compaction.Cfg()
        if current is not None:
            kept = current.resolve('settings.kept_versions').value
            compaction_cfg = compaction.Cfg(kept_versions=int(str(kept)))
        return edit.Editor(
            self.kv(),
            self.author or _user_name(),
            clock.SystemClock(),
            random.SystemRandom(),
            time.sleep,
            edit.Cfg(upkeep=compaction_cfg),
        )

    def router_urls(self) -> tuple[str, ...]:
        """Return the URLs of the routers.

        :raises errors.SettingsError: no router is configured.
        """
        if not self.routers:
            raise errors.SettingsError(
                'the addresses of the routers are missing: give '
                '--routers=URL,URL, or name a file with them in '
                f'{CONFIG_VARIABLE}',
            )
        return self.routers


def read(given: dict[str, object]) -> Options:
    """Return the options of a command.

    Options on the command line override the configuration file, which
    ``config`` names, or else the environment variable.

    :raises errors.SettingsError: an option or the file is invalid.
    """
    given = dict(given)
    path = str(given.pop('config', os.environ.get(CONFIG_VARIABLE, '')))
    config_fields = _read_config(path) if path else {}
    routers = given.get('routers')
    if isinstance(routers, str):
        given['routers'] = [url for url in routers.split(',') if url]
    try:
        return msgspec.convert({**config_fields, **given}, Options)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError(f'an option is wrong: {exc}') from exc


def integer(name: str, raw: object) -> int:
    """Return an argument that must be a whole number of at least 0.

    :raises errors.SettingsError: it is not such a number.
    """
    if isinstance(raw, int) and not isinstance(raw, bool) and raw >= 0:
        return raw
    raise errors.SettingsError(
        f'{name} is {raw!r}, not a whole number of at least 0',
    )


def read_text(path: str) -> str:
    """Return the text of a file.

    :raises errors.SettingsError: it cannot be read.
    """
    try:
        return pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8'
        raise errors.SettingsError(f'cannot read {path}: {reason}') from exc


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (ImportError, LookupError, OSError):
        # The user ID of a container may have no entry in the user database.
        return f'user {os.getuid()}'


def _read_config(path: str) -> dict[str, object]:
    try:
        config_fields = json5.loads(read_text(path))
    except ValueError as exc:
        raise errors.SettingsError(
            f'{path} is not valid JSON with comments: {exc}',
        ) from exc
    if not isinstance(config_fields, dict):
        raise errors.SettingsError(f'{path} does not hold an object')
    return {str(name): field for name, field in config_fields.items()}
