"""Runs all state machines with other seeds than the tests use.

Usage: ``python -m features.machines.run [--seconds=600] [--seed=1]``.
"""

import itertools
import sys
import time
import traceback

import fire

from features.machines import (
    admission,
    deterministic,
    distribution_machine,
    ledger_machine,
    membership_machine,
    orders_machine,
    own_word_machine,
    settings_store,
    stream_machine,
)

# Machine, examples and steps of one run.
MACHINES = {
    'admission': (admission.Admission, 20, 40),
    'distribution': (distribution_machine.Machine, 50, 40),
    'ledger': (ledger_machine.LedgerMachine, 50, 60),
    'membership': (membership_machine.Machine, 3, 10),
    'orders': (orders_machine.OrdersMachine, 20, 40),
    'own words': (own_word_machine.OwnWordMachine, 60, 50),
    'settings': (settings_store.SettingsStore, 30, 30),
    'stream': (stream_machine.StreamMachine, 50, 25),
}


def run(seconds: float = 600, seed: int = 1) -> None:
    """Run every machine with one seed after the other.

    Exits with 1 at the first finding.

    :param seconds: no further machine is begun after this time.
    :param seed: the first seed, at least 1.
    """
    if seed < 1:
        sys.exit(f'seed {seed} is not at least 1')
    end = time.monotonic() + seconds
    for number in itertools.count(seed):
        for name, (machine, examples, steps) in MACHINES.items():
            if time.monotonic() >= end:
                return
            try:
                deterministic.run(machine, steps, examples, seed=number)
            except Exception:
                traceback.print_exc()
                print(f'{name} seed {number}: failed', flush=True)
                sys.exit(1)
            print(f'{name} seed {number}: passed', flush=True)


if __name__ == '__main__':
    fire.Fire(run)
