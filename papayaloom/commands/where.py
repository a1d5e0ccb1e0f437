"""Operator's command that asks a gateway where a request would go now."""

import typing

import msgspec
import result

from papayaloom import errors
from papayaloom.commands import options, rendering
from papayaloom.ports import status
from papayaloom.process import preview_endpoint
from papayaloom.routing import placement_preview

_Shared = typing.Any
# Replicas that are printed, the highest in rank first.
_MAX_REPLICAS = 12


def where(
    process_url: str,
    target: str,
    *,
    key: str = '',
    organisation: str = '',
    prefix: str = '',
    json: bool = False,
    **shared: _Shared,
) -> None:
    """Print where a request would go now, and why, without sending it.

    :param process_url: control URL of a gateway, for example
        http://10.0.0.7:8229.
    :param target: host and path of the request, as in HOST/PATH.
    :param key: API key of its organisation.
    :param organisation: name of the organisation, in place of a key.
    :param prefix: names of the shared parts of its prompt, comma-separated.
    """
    opts = options.read(shared)
    host, _, path = str(target).partition('/')
    question = {
        'host': host,
        'path': f'/{path}',
        'key': str(key),
        'organisation': str(organisation),
        'prefix': str(prefix),
    }
    answer = status.Client(opts.timeout_s).where(str(process_url), question)
    if isinstance(answer, result.Err):
        raise errors.StoreUnavailableError(answer.err_value)
    found = msgspec.convert(answer.ok_value, preview_endpoint.Answer)
    rendering.show(json, found, describe(found))


def describe(found: preview_endpoint.Answer) -> str:
    """Return an answer as text."""
    placement = found.placement
    lines = [
        f'route {found.route} of version {found.version}, service '
        f'{placement.service}, priority {found.priority}'
        + (f', organisation {found.organisation}' * bool(found.organisation)),
        f'decided by: {placement.decided_by}',
    ]
    if placement.problem is not None:
        problem = placement.problem
        lines.append(
            f'rejected with {problem.status}: {problem.title} {problem.detail}; '
            f'retry after {problem.retry_after_s:.2f} s'
        )
    if placement.bound:
        lines.append(
            f'mean load {placement.mean:.1f}, a replica with the prefix is '
            f'preferred up to {placement.bound:.1f}'
        )
    if placement.copy_from:
        lines.append(f'the prompt cache is copied from {placement.copy_from}')
    lines.extend(_replica_lines(placement.replicas))
    return '\n'.join(lines)


def _replica_lines(
    views: typing.Sequence[placement_preview.ReplicaView],
) -> list[str]:
    chosen_first = sorted(views, key=lambda one: -one.chosen_share)
    lines = [_replica_line(one) for one in chosen_first[:_MAX_REPLICAS]]
    hidden = len(views) - len(lines)
    return [*lines, f'and {hidden} more; --json has all'] if hidden else lines


def _replica_line(view: placement_preview.ReplicaView) -> str:
    facts = [
        f'rank {view.rank}' if view.rank else '',
        f'zone {view.zone}' if view.zone else '',
        f'{view.running:.1f} running, {view.own} of this host',
        f'report {view.report_age_s:.2f} s old',
        f'slowdown {view.slowdown:.2f}' if view.slowdown != 1 else '',
        _limit(view.limit_per_s),
        f'left out: {view.exclusion}' if view.exclusion else '',
    ]
    listed = ', '.join(fact for fact in facts if fact)
    return f'{view.chosen_share:4.0%} {view.id}: {listed}'


def _limit(per_s: float | None) -> str:
    return '' if per_s is None else f'limited to {per_s:g} requests/s'
