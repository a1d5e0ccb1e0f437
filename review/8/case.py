"""A replica leaves without draining, just after a waiting watch was cut."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit_2  # noqa: E402

SERVICE = 'lampwatch-app'
MACHINES = 3
ROUNDS = 6
PER_S = 60
# Of the replica that leaves: it serves on for drainMs and this.
LINGER_S = 2.0


def case(record, closing):
    store = kit_2.Store()
    closing.append(store.close)
    routes = [
        kit_2.route('swap', SERVICE, 'non_idempotent'),
        kit_2.route('read', SERVICE, 'idempotent', 2),
    ]
    store.put('op/config', kit_2.desired_state(7, routes))
    runs = []
    replicas = [
        kit_2.Replica(store, record, f'i-{number}', SERVICE, runs)
        for number in range(3)
    ]
    closing.append(lambda: [one.end() for one in replicas])
    fleet = kit_2.Fleet(store, MACHINES)
    closing.append(fleet.close)
    fleet.start()
    load = kit_2.Load(
        fleet, record, [('POST', '/swap/2f'), ('GET', '/read/2f')], PER_S
    )
    time.sleep(kit_2.CONTACT_S + 2)
    late = []
    for number in range(ROUNDS):
        before = store.cut_watches
        # The new one starts first, as in a release.
        replicas.append(
            kit_2.Replica(store, record, f'i-{number + 3}', SERVICE, runs)
        )
        time.sleep(1)
        waiting = store.await_waiting_watches(MACHINES, 3)
        record.write(f'store: {waiting} watches wait')
        if kit_2.TROUBLE:
            store.cut_waiting_watches()
            record.write('store: waiting watches cut')
        time.sleep(0.05)
        leaving = replicas.pop(0)
        acked = leaving.leave_without_draining()
        time.sleep(kit_2.DRAIN_S + LINGER_S)
        leaving.end()
        after = [
            at - acked
            for at, name, *_ in list(runs)
            if name == leaving.name and at - acked > kit_2.DRAIN_S
        ]
        late += after
        record.write(
            f'round {number}: {store.cut_watches - before} watches cut; '
            f'{len(after)} requests reached {leaving.name} later than drainMs '
            f'after the ack, the last {max(after, default=0):.3f} s after it'
        )
        time.sleep(kit_2.CONTACT_S)
    load.stop()
    if kit_2.TROUBLE and not store.cut_watches:
        raise kit_2.CannotRunError('no watch was waiting at any cut')
    served = [one for one in load.answers if one[2] == 200]
    record.write(f'{len(load.answers)} requests, {len(served)} served')
    if len(served) < 0.9 * len(load.answers):
        raise kit_2.CannotRunError('less than nine in ten requests were served')
    print(f'{len(late)} requests later than drainMs, at most {max(late, default=0):.3f} s')
    return bool(late)


kit_2.main(FOLDER, case)
