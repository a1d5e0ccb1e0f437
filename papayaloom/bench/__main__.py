"""Prints the benchmark's figures as JSON lines.

Usage: ``python -m papayaloom.bench [--smoke] [--seed=1] [--only=placement]``.
"""

import importlib
import sys

import fire
import msgspec

BENCHES = ('placement', 'limits', 'fleet', 'lasting', 'streaming')


def bench(*, smoke: bool = False, seed: int = 1, only: str = '') -> None:
    """Run the benchmarks and print one JSON object a line.

    :param smoke: small sizes, to check that every benchmark still runs.
    :param seed: seed of the random sources.
    :param only: name of a single benchmark.
    """
    for name in BENCHES:
        if only and name != only:
            continue
        module = importlib.import_module(f'papayaloom.bench.{name}')
        for figure in module.run(smoke=smoke, seed=seed):
            sys.stdout.write(f'{msgspec.json.encode(figure).decode()}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(bench)
