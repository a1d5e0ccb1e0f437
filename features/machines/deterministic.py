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


def run(machine, steps, examples, fault=None, seed=0):
    """Run a machine; raises AssertionError when a property is broken.

    :param fault: returns a context that puts a deliberate fault in place.
    :param seed: 0 for the runs that the tests use.
    """
    chosen = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    constants = mock.patch.object(
        providers, '_get_local_constants', constants_ast.Constants
    )
    seeded = hypothesis.seed(seed)(machine) if seed else machine
    with constants, fault() if fault else contextlib.nullcontext():
        stateful.run_state_machine_as_test(seeded, settings=chosen)


def finds(machine, steps, examples, fault):
    """Return whether a machine notices a deliberate fault."""
    try:
        run(machine, steps, examples, fault)
    except AssertionError:
        return True
    return False
