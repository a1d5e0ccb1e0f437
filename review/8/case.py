"""The settings file changes: the platform's store has a new address."""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit_2  # noqa: E402

SERVICE = 'lampwatch-app'
MACHINES = 3
GAP_S = 0.5
# The old address answers for this long after the last machine was told.
OVERLAP_S = 8.0
APPLY_S = 2.0
# Longest that an unstable core stretches the bound of a desired state.
STRETCH_S = 5.0
DROPPED_KEY = 'anfqasnmgkcuyj8pjbvk'
PROBES = 10


def case(record, closing):
    store = kit_2.Store()
    closing.append(lambda: store.close())
    routes = [kit_2.route('swap', SERVICE, 'non_idempotent')]
    keys = (kit_2.KEY, DROPPED_KEY)
    store.put('op/config', kit_2.desired_state(7, routes, keys))
    runs = []
    replicas = [
        kit_2.Replica(store, record, f'i-{number}', SERVICE, runs)
        for number in range(3)
    ]
    closing.append(lambda: [one.end() for one in replicas])
    fleet = kit_2.Fleet(store, MACHINES)
    closing.append(fleet.close)
    fleet.start()
    time.sleep(kit_2.CONTACT_S + 1)
    before = [kit_2.ask(one, 'POST', '/swap/2f', record, b'x', key=DROPPED_KEY) for one in fleet.machines]
    if any(answer[1] != 200 for answer in before):
        raise kit_2.CannotRunError('the key is not served at first')
    if kit_2.TROUBLE:
        end_old = store.move()
        for machine in fleet.machines:
            machine['write']()
            machine['process'].send_signal(signal.SIGHUP)
            record.write(f'platform: settings of {machine["name"]} changed, SIGHUP sent')
            time.sleep(GAP_S)
        time.sleep(OVERLAP_S)
        end_old()
        record.write('platform: the old address of the store is closed')
        time.sleep(kit_2.CONTACT_S + 1)
    acked = store.put('op/config', kit_2.desired_state(9, routes))
    record.write('operator: version 9, without the key, is acknowledged')
    time.sleep(APPLY_S + STRETCH_S + 0.5)
    stale = []
    for _ in range(PROBES):
        for machine in fleet.machines:
            begun = time.monotonic()
            answer = kit_2.ask(machine, 'POST', '/swap/2f', record, b'x', key=DROPPED_KEY)
            stale += [(begun - acked, answer[0])] if answer[1] == 200 else []
    ran = {request for *_, request, _ in runs}
    stale = [one for one in stale if one[1] in ran]
    record.write(
        f'{len(stale)} of {PROBES * MACHINES} requests with the dropped key were run, '
        f'the last sent {max(stale, default=(0,))[0]:.3f} s after the ack'
    )
    print(f'{len(stale)} of {PROBES * MACHINES} requests with a dropped key run')
    return bool(stale)


kit_2.main(FOLDER, case)
