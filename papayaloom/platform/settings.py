"""Reads the platform's settings file: lines of the form ``a.b=value``."""

import contextlib
import math
import os
import typing

import msgspec

from papayaloom import errors
from papayaloom.platform import documents
from papayaloom.process import fleet_hosts, gateway_cfg, gateway_stop
from papayaloom.routing import dispatch, replica_choice
from papayaloom.routing.limits import cold_permits
from papayaloom.routing.overload import budgets, hedging

PATH_VARIABLE = 'PAPAYALOOM_SETTINGS'
# Overrides the field of the settings file.
HEDGING_VARIABLE = 'PAPAYALOOM_HEDGING_EXTRA_PERCENT'
_HEDGING_FIELD = 'hedging.extraPercent'
METRICS_PORT = 9464
# The process exits this long before the platform kills it.
_KILL_MARGIN_S = 0.45
_MAX_TTL_S = 1.0
_MIN_LEASE_S = 1.2
# Link bandwidth that this program can use per CPU core when it relays changes.
_LINK_MBPS_PER_CORE = 50.0


class Settings(msgspec.Struct, frozen=True):
    """Settings of the process and the address of its store.

    :param store: ``IP:PORT`` of the platform's store.
    """

    store: str
    process: gateway_cfg.Cfg


def load(path: str) -> Settings:
    """Read the settings file.

    :raises papayaloom.errors.SettingsError: the file cannot be read, or a field
        is missing or invalid.
    """
    try:
        with open(path, encoding='utf-8') as lines:
            fields = parse(lines.read())
    except OSError as exc:
        raise errors.SettingsError(f'settings file {path}: {exc}') from exc
    return from_fields(overridden(fields, os.environ))


def path_from_environment() -> str:
    """Return the path of the settings file.

    :raises papayaloom.errors.SettingsError: the variable is unset or empty.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise errors.SettingsError(
            f'{PATH_VARIABLE} is not set; it holds the path of the settings '
            'file'
        )
    return path


def parse(text: str) -> dict[str, str]:
    """Parse the lines; return the values by field name."""
    fields = {}
    for line in text.splitlines():
        name, found, field = line.strip().partition('=')
        if found and not name.startswith('#'):
            fields[name.strip()] = field.strip()
    return fields


def from_fields(fields: dict[str, str]) -> Settings:
    """Validate the fields and convert them to settings.

    :raises papayaloom.errors.SettingsError: a field is missing or invalid.
    """
    grace_s = _number(fields, 'bounds.graceS', 8)
    ttl_s = _number(fields, 'bounds.ttl_max_s', _MAX_TTL_S)
    min_lease_s = _number(fields, 'platform.ttlMinMs', 0) / 1000
    callers = _address(fields, 'listen.front')
    return Settings(
        store=_text(fields, 'platform.address'),
        process=gateway_cfg.Cfg(
            host=fleet_hosts.Host(
                _text(fields, 'nodeName'),
                _text(fields, 'listen.front'),
                fields.get('zone', ''),
                _text(fields, 'listen.control'),
                _capacity(fields),
            ),
            addresses=gateway_cfg.Addresses(
                callers=callers,
                readiness=_address(fields, 'listen.ready'),
                directory=_address(fields, 'listen.directory'),
                control=_address(fields, 'listen.control'),
                metrics=_metrics_address(fields, callers[0]),
            ),
            seeds=_seeds(fields),
            ttl_s=min(ttl_s, _MAX_TTL_S),
            lease_s=max(min_lease_s, _MIN_LEASE_S),
            evacuation_s=_evacuation_s(fields),
            stop=gateway_stop.Cfg(longest_s=grace_s - _KILL_MARGIN_S),
            placing=dispatch.Cfg(
                spreading=replica_choice.Cfg(
                    factor=_number(fields, 'bounds.capFactor', 2)
                ),
                repeats=_retry_bound(fields),
                warming=_cold_bound(fields),
                hedges=hedging.Cfg(extra_percent=_hedging_percent(fields)),
            ),
        ),
    )


def _text(fields: dict[str, str], name: str) -> str:
    if not fields.get(name):
        raise errors.SettingsError(f'settings field {name} is missing')
    return fields[name]


def _capacity(fields: dict[str, str]) -> float:
    cpu_share = _number(fields, 'limits.cpuShare', 1)
    cores = _number(fields, 'limits.cores', 1)
    link_mbps = _number(fields, 'limits.linkMbps', _LINK_MBPS_PER_CORE)
    return min(cpu_share * cores, link_mbps / _LINK_MBPS_PER_CORE)


def _metrics_address(fields: dict[str, str], ip: str) -> tuple[str, int]:
    """Return the listen address of the metrics; the platform sets none."""
    if fields.get('listen.metrics'):
        return _address(fields, 'listen.metrics')
    return ip, METRICS_PORT


def _address(fields: dict[str, str], name: str) -> tuple[str, int]:
    text = _text(fields, name)
    try:
        return documents.parse_address(text)
    except ValueError as exc:
        raise errors.SettingsError(f'settings field {name}: {exc}') from exc


def _retry_bound(fields: dict[str, str]) -> budgets.RetryBound:
    defaults = budgets.RetryBound()
    return budgets.RetryBound(
        ratio=_number(fields, 'bounds.budgetRatio', defaults.ratio),
        slack=_number(fields, 'bounds.budgetSlack', defaults.slack),
        window_s=_number(fields, 'bounds.budgetWindowS', defaults.window_s),
    )


def _cold_bound(fields: dict[str, str]) -> cold_permits.Cfg | None:
    """Return the bound for cold replicas; None if the platform sets none."""
    if not fields.get('bounds.coldOver'):
        return None
    bound = cold_permits.Cfg(
        factor=_number(fields, 'bounds.coldOver', 1),
        slack=_number(fields, 'bounds.coldSlack', 0),
    )
    for name, number in (
        ('bounds.coldOver', bound.factor),
        ('bounds.coldSlack', bound.slack),
    ):
        if not 0 <= number < math.inf:
            raise errors.SettingsError(
                f'settings field {name}: {number} is not 0 or a positive number'
            )
    return bound


def _evacuation_s(fields: dict[str, str]) -> float | None:
    limit_ms = _number(fields, 'bounds.evacMs', 0)
    return limit_ms / 1000 if limit_ms > 0 else None


def overridden(
    fields: dict[str, str], environ: typing.Mapping[str, str]
) -> dict[str, str]:
    """Return the fields with the values of environment variables."""
    text = environ.get(HEDGING_VARIABLE, '')
    return {**fields, _HEDGING_FIELD: text} if text else fields


def _hedging_percent(fields: dict[str, str]) -> float:
    text = fields.get(_HEDGING_FIELD, '') or '0'
    limit = hedging.MAX_EXTRA_PERCENT
    with contextlib.suppress(ValueError):
        if 0 <= float(text) <= limit:
            return float(text)
    raise errors.SettingsError(
        f'settings field {_HEDGING_FIELD} (or {HEDGING_VARIABLE}): {text!r} '
        f'is not a number from 0 to {limit}'
    )


def _seeds(fields: dict[str, str]) -> tuple[tuple[str, int], ...]:
    own_address = fields.get('listen.control', '')
    texts = [address.strip() for address in fields.get('seeds', '').split(',')]
    try:
        return tuple(
            documents.parse_address(text)
            for text in texts
            if text and text != own_address
        )
    except ValueError as exc:
        raise errors.SettingsError(f'settings field seeds: {exc}') from exc


def _number(fields: dict[str, str], name: str, default: float) -> float:
    text = fields.get(name, '')
    if not text:
        return default
    try:
        return float(text)
    except ValueError as exc:
        raise errors.SettingsError(
            f'settings field {name}: {text!r} is not a number'
        ) from exc
