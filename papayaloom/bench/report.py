"""Generates docs/measurements.md and its plots from recorded figures.

``make bench-report`` runs the benchmarks first and stores the figures in
docs/figures.jsonl; with ``--measure=False`` it uses the stored figures.
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

_DOCS_DIR = pathlib.Path('docs')
_FIGURES_FILE = _DOCS_DIR / 'figures.jsonl'
_ROUND_FILES = ('rounds.jsonl', 'rounds-fleet.jsonl', 'rounds-streaming.jsonl')
_PLOTS_DIR = _DOCS_DIR / 'plots'
_BENCH_COMMAND = 'python -m papayaloom.bench --seed=1'


class Figure(msgspec.Struct, frozen=True):
    """A figure as the benchmarks print it."""

    name: str
    value: float
    unit: str
    seed: int | str
    scenario: str
    policy: str


class Round(msgspec.Struct, frozen=True):
    """A tuning step: a change and its effect on a figure."""

    round: int
    name: str
    scenario: str
    policy: str
    before: float | None
    after: float | None
    seed: int | str
    change: str
    conclusion: str


_Record = typing.TypeVar('_Record')


def _read_records(
    file: pathlib.Path, record_type: type[_Record]
) -> list[_Record]:
    if not file.exists():
        return []
    lines = file.read_bytes().splitlines()
    return [
        msgspec.json.decode(line, type=record_type) for line in lines if line
    ]


def _format_number(value: float | None) -> str:
    return '–' if value is None else f'{value:.4g}'


def _target_and_verdict(figure: Figure) -> tuple[str, str]:
    target = targets.find_target(figure.name, figure.scenario, figure.policy)
    if target is None:
        return '', ''
    verdict = 'met' if target.is_met(figure.value) else '**missed**'
    return target.format_bound(), verdict


def _render_table(
    header: tuple[str, ...],
    rows: typing.Sequence[tuple[str, ...]],
) -> list[str]:
    return [
        '| {0} |'.format(' | '.join(header)),
        '|{0}'.format(' --- |' * len(header)),
        *('| {0} |'.format(' | '.join(row)) for row in rows),
        '',
    ]


def _summary_lines(figures: list[Figure]) -> list[str]:
    """Return the section with the figures that have a target."""
    rows = []
    for figure in figures:
        bound, verdict = _target_and_verdict(figure)
        if bound:
            rows.append(
                (
                    figure.name,
                    figure.scenario,
                    f'{_format_number(figure.value)} {figure.unit}',
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
        *_render_table(('figure', 'scenario', 'value', 'target', ''), rows),
    ]


def _all_figures_lines(figures: list[Figure]) -> list[str]:
    """Return the section with all figures, one column per policy."""
    lines = ['## All figures, with their baselines', '']
    by_name: dict[str, list[Figure]] = collections.defaultdict(list)
    for figure in figures:
        by_name[figure.name].append(figure)
    for name, matching in sorted(by_name.items()):
        policies = sorted({item.policy for item in matching})
        scenarios = list(dict.fromkeys(item.scenario for item in matching))
        cells = {
            (item.scenario, item.policy): _format_number(item.value)
            for item in matching
        }
        rows = [
            (
                scenario,
                *(cells.get((scenario, policy), '–') for policy in policies),
            )
            for scenario in scenarios
        ]
        lines += [f'### {name} ({matching[0].unit})', '']
        lines += _render_table(('scenario', *policies), rows)
    return lines


def _rounds_lines(rounds: list[Round]) -> list[str]:
    rows = [
        (
            f'{item.name}, {item.scenario}',
            _format_number(item.before),
            _format_number(item.after),
            item.change,
            item.conclusion,
        )
        for item in rounds
    ]
    header = ('figure and scenario', 'before', 'after', 'change', 'conclusion')
    return ['## Rounds', '', *_render_table(header, rows)]


def _plot_rounds(rounds: list[Round]) -> list[str]:
    """Plot the values before and after each round.

    Figures with a single round are left out.
    """
    by_name: dict[str, list[Round]] = collections.defaultdict(list)
    for entry in rounds:
        if entry.before is not None and entry.after is not None:
            by_name[entry.name].append(entry)
    lines = []
    for name, matching in sorted(by_name.items()):
        if len(matching) < 2:
            continue
        figure, axes = pyplot.subplots(figsize=(7, 0.5 * len(matching) + 1.5))
        for row, entry in enumerate(reversed(matching)):
            endpoints = (entry.before or 0, entry.after or 0)
            axes.plot(endpoints, (row, row), color='0.7')
            axes.plot(endpoints[0], row, 'o', color='tab:orange')
            axes.plot(endpoints[1], row, 'o', color='tab:blue')
        axes.set_yticks(
            range(len(matching)),
            [
                f'round {item.round}: {item.scenario}'
                for item in reversed(matching)
            ],
        )
        axes.set_title(f'{name}: before (orange) and after (blue)')
        lines.append(_save_plot(figure, f'rounds-{name}', name))
    return lines


def _plot_policies(figures: list[Figure]) -> list[str]:
    """Plot the placement policies side by side."""
    lines = []
    for name in ('cache_reuse', 'skew', 'load_over_cap'):
        matching = [item for item in figures if item.name == name]
        scenarios = list(dict.fromkeys(item.scenario for item in matching))
        if not scenarios:
            continue
        figure, axes = pyplot.subplots(figsize=(7, 0.4 * len(scenarios) + 2))
        for policy in sorted({item.policy for item in matching}):
            points = [item for item in matching if item.policy == policy]
            axes.plot(
                [item.value for item in points],
                [scenarios.index(item.scenario) for item in points],
                'o',
                label=policy,
            )
        axes.set_yticks(range(len(scenarios)), scenarios)
        axes.legend(fontsize='small')
        axes.set_title(name)
        lines.append(_save_plot(figure, f'policies-{name}', name))
    return lines


def _save_plot(figure: typing.Any, file: str, title: str) -> str:
    _PLOTS_DIR.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(_PLOTS_DIR / f'{file}.svg', metadata={'Date': None})
    pyplot.close(figure)
    return f'![{title}](plots/{file}.svg)\n'


def report(*, measure: bool = True) -> None:
    """Generate the page.

    :param measure: run the benchmarks first, which takes minutes.
    """
    mpl.use('svg')
    # A fixed salt makes the SVG files reproducible.
    mpl.rcParams['svg.hashsalt'] = 'papayaloom'
    if measure:
        completed = subprocess.run(  # noqa: S603
            [sys.executable, *_BENCH_COMMAND.split()[1:]],
            stdout=subprocess.PIPE,
            check=True,
        )
        _FIGURES_FILE.write_bytes(completed.stdout)
    figures = _read_records(_FIGURES_FILE, Figure)
    rounds = [
        item
        for name in _ROUND_FILES
        for item in _read_records(_DOCS_DIR / name, Round)
    ]
    lines = [
        '# Measurements',
        '',
        'Written by `make bench-report`; do not edit. The figures come from',
        f'`{_BENCH_COMMAND}`, or from one run of it with `--only` for each',
        'benchmark, and are kept in docs/figures.jsonl. Targets come from the',
        'requirements; the fleet is measured beside its baselines. Times',
        'depend on what else the machine does.',
        '',
        *_summary_lines(figures),
        *_plot_policies(figures),
        *_rounds_lines(rounds),
        *_plot_rounds(rounds),
        *_all_figures_lines(figures),
    ]
    (_DOCS_DIR / 'measurements.md').write_text('\n'.join(lines))


if __name__ == '__main__':
    fire.Fire(report)
