"""Runs the benchmarks and prints their figures as JSON lines.

Usage: ``python -m papayaloom.bench [--smoke] [--seed=1] [--only=placement]``.
"""

import importlib
import sys

import fire
import msgspec

BENCHMARKS = (
    'placement',
    'limits',
    'fleet',
    'lasting',
    'capacity',
    'streaming',
)


def bench(*, smoke: bool = False, seed: int = 1, only: str = '') -> None:
    """Run the benchmarks and print one JSON object per line.

    :param smoke: use small sizes, to check that every benchmark runs.
    :param seed: seed for the random number generators.
    :param only: name of a single benchmark to run.
    """
    for name in BENCHMARKS:
        if only and name != only:
            continue
        module = importlib.import_module(f'papayaloom.bench.{name}')
        for figure in module.run(smoke=smoke, seed=seed):
            sys.stdout.write(f'{msgspec.json.encode(figure).decode()}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(bench)
