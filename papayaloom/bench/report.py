"""Writes docs/measurements.md and its plots from recorded figures.

``make bench-report`` measures first and keeps the figures in
docs/figures.jsonl; ``--measure=False`` uses the kept ones.
"""

import collections
import pathlib
import subprocess  # noqa: S404
import sys
import typing

import fire
import matplotlib as mpl
import msgspec
from matplotlib import pyplot

from papayaloom.bench import targets

_DOCS = pathlib.Path('docs')
_FIGURES = _DOCS / 'figures.jsonl'
_ROUNDS = ('rounds.jsonl', 'rounds-fleet.jsonl', 'rounds-streaming.jsonl')
_PLOTS = _DOCS / 'plots'
_COMMAND = 'python -m papayaloom.bench --seed=1'


class Figure(msgspec.Struct, frozen=True):
    """A figure as the bench prints it."""

    name: str
    value: float
    unit: str
    seed: int | str
    scenario: str
    policy: str


class Round(msgspec.Struct, frozen=True):
    """One try: what was changed, and what it did to a figure."""

    round: int
    name: str
    scenario: str
    policy: str
    before: float | None
    after: float | None
    seed: int | str
    change: str
    conclusion: str


_Shape = typing.TypeVar('_Shape')


def _read(file: pathlib.Path, shape: type[_Shape]) -> list[_Shape]:
    if not file.exists():
        return []
    lines = file.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=shape) for line in lines if line]


def _number(number: float | None) -> str:
    return '–' if number is None else f'{number:.4g}'


def _outcome(figure: Figure) -> tuple[str, str]:
    target = targets.find(figure.name, figure.scenario, figure.policy)
    if target is None:
        return '', ''
    verdict = 'met' if target.met(figure.value) else '**missed**'
    return target.text(), verdict


def _table(
    head: tuple[str, ...],
    rows: typing.Sequence[tuple[str, ...]],
) -> list[str]:
    return [
        '| {0} |'.format(' | '.join(head)),
        '|{0}'.format(' --- |' * len(head)),
        *('| {0} |'.format(' | '.join(row)) for row in rows),
        '',
    ]


def _summary(figures: list[Figure]) -> list[str]:
    """Return the figures that have a target."""
    rows = []
    for figure in figures:
        bound, verdict = _outcome(figure)
        if bound:
            rows.append(
                (
                    figure.name,
                    figure.scenario,
                    f'{_number(figure.value)} {figure.unit}',
                    bound,
                    verdict,
                ),
            )
    missed = [row for row in rows if 'missed' in row[-1]]
    return [
        '## Figures with a target',
        '',
        f'{len(rows) - len(missed)} of {len(rows)} are met.',
        '',
        *_table(('figure', 'scenario', 'value', 'target', ''), rows),
    ]


def _all(figures: list[Figure]) -> list[str]:
    """Return each figure with the policies side by side."""
    lines = ['## All figures, with their baselines', '']
    by_name: dict[str, list[Figure]] = collections.defaultdict(list)
    for figure in figures:
        by_name[figure.name].append(figure)
    for name, found in sorted(by_name.items()):
        policies = sorted({one.policy for one in found})
        scenarios = list(dict.fromkeys(one.scenario for one in found))
        cells = {
            (one.scenario, one.policy): _number(one.value) for one in found
        }
        rows = [
            (
                scenario,
                *(cells.get((scenario, policy), '–') for policy in policies),
            )
            for scenario in scenarios
        ]
        lines += [f'### {name} ({found[0].unit})', '']
        lines += _table(('scenario', *policies), rows)
    return lines


def _rounds(rounds: list[Round]) -> list[str]:
    rows = [
        (
            f'{one.name}, {one.scenario}',
            _number(one.before),
            _number(one.after),
            one.change,
            one.conclusion,
        )
        for one in rounds
    ]
    head = ('figure and scenario', 'before', 'after', 'change', 'conclusion')
    return ['## Rounds', '', *_table(head, rows)]


def _plot_rounds(rounds: list[Round]) -> list[str]:
    """Draw before and after of each round, for the figures with most rounds."""
    by_name: dict[str, list[Round]] = collections.defaultdict(list)
    for made in rounds:
        if made.before is not None and made.after is not None:
            by_name[made.name].append(made)
    lines = []
    for name, found in sorted(by_name.items()):
        if len(found) < 2:
            continue
        figure, axes = pyplot.subplots(figsize=(7, 0.5 * len(found) + 1.5))
        for row, tried in enumerate(reversed(found)):
            ends = (tried.before or 0, tried.after or 0)
            axes.plot(ends, (row, row), color='0.7')
            axes.plot(ends[0], row, 'o', color='tab:orange')
            axes.plot(ends[1], row, 'o', color='tab:blue')
        axes.set_yticks(
            range(len(found)),
            [f'round {one.round}: {one.scenario}' for one in reversed(found)],
        )
        axes.set_title(f'{name}: before (orange) and after (blue)')
        lines.append(_save(figure, f'rounds-{name}', name))
    return lines


def _plot_policies(figures: list[Figure]) -> list[str]:
    """Draw the policies of placement side by side."""
    lines = []
    for name in ('cache_reuse', 'skew', 'load_over_cap'):
        found = [one for one in figures if one.name == name]
        scenarios = list(dict.fromkeys(one.scenario for one in found))
        if not scenarios:
            continue
        figure, axes = pyplot.subplots(figsize=(7, 0.4 * len(scenarios) + 2))
        for policy in sorted({one.policy for one in found}):
            points = [one for one in found if one.policy == policy]
            axes.plot(
                [one.value for one in points],
                [scenarios.index(one.scenario) for one in points],
                'o',
                label=policy,
            )
        axes.set_yticks(range(len(scenarios)), scenarios)
        axes.legend(fontsize='small')
        axes.set_title(name)
        lines.append(_save(figure, f'policies-{name}', name))
    return lines


def _save(figure: typing.Any, file: str, title: str) -> str:
    _PLOTS.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(_PLOTS / f'{file}.svg', metadata={'Date': None})
    pyplot.close(figure)
    return f'![{title}](plots/{file}.svg)\n'


def report(*, measure: bool = True) -> None:
    """Write the page.

    :param measure: run the bench first, which takes minutes.
    """
    mpl.use('svg')
    # Equal figures give equal files.
    mpl.rcParams['svg.hashsalt'] = 'papayaloom'
    if measure:
        done = subprocess.run(  # noqa: S603
            [sys.executable, *_COMMAND.split()[1:]],
            stdout=subprocess.PIPE,
            check=True,
        )
        _FIGURES.write_bytes(done.stdout)
    figures = _read(_FIGURES, Figure)
    rounds = [one for name in _ROUNDS for one in _read(_DOCS / name, Round)]
    lines = [
        '# Measurements',
        '',
        'Written by `make bench-report`; do not edit. The figures come from',
        f'`{_COMMAND}`, or from one run of it with `--only` for each',
        'benchmark, and are kept in docs/figures.jsonl. Targets come from the',
        'requirements; the fleet is measured beside its baselines. Times',
        'depend on what else the machine does.',
        '',
        *_summary(figures),
        *_plot_policies(figures),
        *_rounds(rounds),
        *_plot_rounds(rounds),
        *_all(figures),
    ]
    (_DOCS / 'measurements.md').write_text('\n'.join(lines))


if __name__ == '__main__':
    fire.Fire(report)
