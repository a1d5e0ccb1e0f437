"""Runs state machines so that their verdict depends on nothing else.

Hypothesis mixes constants of all loaded local modules into the values that it
draws, also when it is derandomized. Then a change of unrelated code changes
the runs, so the machines here are run without these constants.
"""

import contextlib
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis.internal import constants_ast
from hypothesis.internal.conjecture import providers

_SEEDS = 8


def run_fixed(machine, examples, steps, seed=0, **options):
    """Run a machine with fixed settings; raises what it finds.

    Failures are not shrunk unless ``phases`` is given, because shrinking takes
    long and the first finding is the verdict.

    :param seed: another number than 0 gives other runs.
    :param options: further settings of hypothesis.
    """
    fixed = {'phases': (hypothesis.Phase.generate,), **options}
    chosen = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        suppress_health_check=list(hypothesis.HealthCheck),
        **fixed,
    )
    seeded = hypothesis.seed(seed)(machine) if seed else machine
    constants = mock.patch.object(
        providers, '_get_local_constants', constants_ast.Constants
    )
    with constants:
        stateful.run_state_machine_as_test(seeded, settings=chosen)


def run(machine, steps, examples, fault=None, seed=0):
    """Run a machine; raises AssertionError when a property is broken.

    :param fault: returns a context that puts a deliberate fault in place.
    :param seed: 0 for the runs that the tests use.
    """
    with fault() if fault else contextlib.nullcontext():
        run_fixed(machine, examples, steps, seed)


def finds(machine, steps, examples, fault):
    """Return whether a machine notices a deliberate fault, with some seed.

    The runs of one seed follow the source text of the machine; a machine that
    can find a fault finds it with most seeds.
    """
    return any(
        _finds(machine, steps, examples, fault, seed) for seed in range(_SEEDS)
    )


def _finds(machine, steps, examples, fault, seed):
    try:
        run(machine, steps, examples, fault, seed)
    except AssertionError:
        return True
    return False
