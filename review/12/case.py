"""Event ids go up by more than one after the third event of a stream."""

import asyncio
import os
import random
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                '..'))
import world_3 as world  # noqa: E402

MACHINES = 6
REPLICAS = 12
# Streams in a second, as on the site's sheet.
PER_S = 30
EVENTS = 20
GAP_S = 0.02
# Counted are streams sent no later than this after the SIGTERM.
SENT_WITHIN_S = 2.0
FIRST = '5c1e07a2'
DOCUMENTS = [f'd0c{number:05x}' for number in range(44)]


def token_offset(number):
    """Return the tokens up to an event: three of one token, then of seven."""
    return number if number <= 3 else 3 + 7 * (number - 3)


async def scenario(record, scratch, gateways, trouble):
    store = world.Store(record)
    network = world.free_network()
    await store.server.start('127.0.0.1')
    await store.put('op/config', world.config(7, [
        world.route('care-sheet-digest', '/lohu930/', 'huvo11a', 'streaming',
                    timeoutMs=15000, targetLatencyMs=1000, priority=1,
                    sticky=True, targetGapMs=800)], world.TENANTS))
    zones = ['lk-west-a', 'lk-west-b', 'lk-west-c']
    pool = world.Pool(
        record, store,
        lambda zone, on_crash: world.ModelReplica(
            record, store, 'huvo11a', zone, set(), on_crash, EVENTS, GAP_S,
            event_id=token_offset if trouble else int), 3)
    await pool.start([zones[number % 3] for number in range(REPLICAS)])
    for number in range(MACHINES):
        gateways.append(world.Gateway(
            record, scratch, f'front-{number}', f'{network}.{number + 1}',
            store.server.address, [], zones[number % 3]))
    for one in gateways:
        one.start()
    if not await world.until(lambda: world.all_ready(gateways), 20):
        record.say('the machines did not become ready')
        return 2
    await asyncio.sleep(14)
    streams = []
    traffic = asyncio.ensure_future(run_traffic(record, gateways, streams))
    await asyncio.sleep(6)
    stopped = gateways[0]
    stopped_at = time.monotonic()
    stopped.signal(world.TERM)
    await asyncio.sleep(SENT_WITHIN_S + 1)
    traffic.cancel()
    await asyncio.sleep(3)
    arrived = {one[1] for one in pool.arrivals()}
    record.say('streams by status (0: cut off):', count(
        [one['status'] for one in streams]))
    lost = [one for one in streams
            if one['machine'] is stopped and one['name'] in arrived
            and one['status'] == 0
            and stopped_at < one['sent_at'] <= stopped_at + SENT_WITHIN_S]
    record.say('streams that the stopped machine had passed on and that ended '
               'incomplete after its SIGTERM:', len(lost))
    for one in lost:
        record.say(one['name'],
                   f'sent {one["sent_at"] - stopped_at:.3f} s and ended '
                   f'{one["ended_at"] - stopped_at:.3f} s after it')
    return 1 if lost else 0


def count(statuses):
    return {one: statuses.count(one) for one in sorted(set(statuses))}


async def run_traffic(record, gateways, streams):
    while True:
        await asyncio.sleep(random.expovariate(PER_S))
        asyncio.ensure_future(ask(record, gateways, streams))


async def ask(record, gateways, streams):
    name = world.request_id()
    machine = random.choice(gateways)
    parts = [(FIRST, 512), (random.choice(DOCUMENTS), 10000), (name, 1300)]
    record.note('consumer sends', name, 'to', machine.name)
    sent_at = time.monotonic()
    found = await world.ask(machine.front(), 'POST', '/lohu930/2f', name, 15,
                            world.KEY, f'prompt {name}'.encode(),
                            world.model_fields(parts))
    record.note('consumer got', found.status, 'to', name, found.why)
    streams.append({'name': name, 'machine': machine, 'sent_at': sent_at,
                    'ended_at': time.monotonic(), 'status': found.status})


world.main(scenario)
