"""Runs the stand-in of an external system as an HTTP server.

Each stand-in has the resource ``/faults``: GET returns its fault switches and
PUT of a JSON object changes them. A command prints its URLs, one per line,
and serves until it is terminated.
"""

import functools
import sys
import threading
import typing

import cheroot.wsgi
import fire
import msgspec

from papayaloom import clock, ids
from papayaloom.ports import hosts
from papayaloom.standins import batch, engine, engine_server, service
from papayaloom.standins import faults as fault_switches
from papayaloom.standins import hosts as host_list
from papayaloom.standins import kv_server
from papayaloom.standins import weights as weight_store


def _fail(message: str) -> typing.NoReturn:
    sys.stderr.write(f'papayaloom-standin: {message}\n')
    sys.exit(1)


def _bind(
    start: typing.Callable[[], cheroot.wsgi.Server],
) -> cheroot.wsgi.Server:
    try:
        return start()
    except (OSError, ValueError) as exc:
        _fail(f'cannot listen: {exc}')


def _set_faults(switches: fault_switches.Faults, assignments: str) -> None:
    for pair in filter(None, assignments.split(',')):
        name, _, number = pair.partition('=')
        try:
            switches.change(**{name: msgspec.json.decode(number or 'true')})
        except (ValueError, msgspec.MsgspecError) as exc:
            _fail(f'{pair!r} is not a fault: {exc}')


def _serve(*bound: cheroot.wsgi.Server) -> None:
    for http_server in bound:
        host, port = http_server.bind_addr[:2]
        sys.stdout.write(f'http://{host}:{port}\n')
    sys.stdout.flush()
    for other in bound[1:]:
        threading.Thread(target=other.serve, daemon=True).start()
    try:
        bound[0].serve()
    except KeyboardInterrupt:
        bound[0].stop()


def run_engine(
    address: str = '127.0.0.1:0',
    name: str = 'engine-1',
    model: str = 'model',
    faults: str = '',
    threads: int = 64,
    **properties: object,
) -> None:
    """Run a model engine.

    :param faults: fault switches, for example ``delay_s=0.5,drop_after=1``.
    :param threads: size of the thread pool; every open stream holds one.
    :param properties: fields of ``papayaloom.standins.engine.Cfg`` and
        ``papayaloom.standins.batch.Cfg``, for example ``--token_s=0.03``.
    """
    speed_names = set(batch.Cfg.__struct_fields__)
    speed_fields = {
        key: properties.pop(key) for key in speed_names & set(properties)
    }
    fields = {**properties, 'model': str(model), 'speed': speed_fields}
    fields['name'] = str(name)
    # Fire parses a version such as "1" as a number.
    fields['version'] = str(fields.get('version', '1'))
    unknown = set(fields) - set(engine.Cfg.__struct_fields__)
    if unknown:
        _fail('engines have no property {0}'.format(', '.join(sorted(unknown))))
    try:
        cfg = msgspec.convert(fields, engine.Cfg, strict=False)
    except msgspec.ValidationError as exc:
        _fail(f'invalid property: {exc}')
    try:
        bound, served = engine_server.server(cfg, address, threads)
    except (OSError, ValueError) as bind_error:
        _fail(f'cannot listen: {bind_error}')
    _set_faults(served.faults, faults)
    _serve(bound)


def run_service(
    addresses: str = '127.0.0.1:0',
    name: str = 'order-desk',
    faults: str = '',
    *,
    checks_keys: bool = False,
) -> None:
    """Run the replicas of a service, which share one effect log.

    :param addresses: comma-separated addresses, one per replica.
    :param checks_keys: apply each idempotency key at most once.
    """
    log = service.EffectLog()
    bound = []
    for number, address in enumerate(addresses.split(','), start=1):
        replica = service.Replica(
            f'{name}-{number}',
            ids.ServiceId(name),
            log,
            checks_keys=checks_keys,
        )
        _set_faults(replica.faults, faults)
        bound.append(_bind(functools.partial(service.server, replica, address)))
    _serve(*bound)


def run_weights(
    address: str = '127.0.0.1:0',
    name: str = 'weights',
    faults: str = '',
    *,
    bytes_per_s: float = 1_000_000_000,
    size: int = 1_000_000_000,
) -> None:
    """Run a weight store.

    :param bytes_per_s: total rate of all engines.
    :param size: size of every version in bytes.
    """
    store = weight_store.WeightStore(
        clock.SystemClock(), None, bytes_per_s, size
    )
    _set_faults(store.faults, faults)
    _serve(_bind(lambda: weight_store.server(store, address)))


def run_hosts(
    address: str = '127.0.0.1:0',
    name: str = 'hosts',
    faults: str = '',
    *,
    lag_s: float = 2,
    file: str = '',
) -> None:
    """Run a host list; ``PUT`` and ``DELETE /v1/hosts/<host>`` change it.

    :param lag_s: delay after which readers see a change.
    :param file: JSON file with the initial hosts.
    """
    directory = host_list.HostDirectory(clock.SystemClock(), lag_s)
    if file:
        try:
            with open(file, 'rb') as listing:
                initial_hosts = msgspec.json.decode(
                    listing.read(), type=tuple[hosts.Host, ...]
                )
        except (OSError, msgspec.MsgspecError) as exc:
            _fail(f'cannot read the hosts from {file!r}: {exc}')
        for host in initial_hosts:
            directory.put(host)
    _set_faults(directory.faults, faults)
    _serve(_bind(lambda: host_list.server(directory, address)))


def run_kv(
    address: str = '127.0.0.1:0',
    name: str = 'kv',
    faults: str = '',
) -> None:
    """Run a key-value service.

    :param faults: fields of ``papayaloom.standins.kv.Faults``.
    """
    try:
        bound, switches = kv_server.server(address)
    except (OSError, ValueError) as exc:
        _fail(f'cannot listen: {exc}')
    for pair in filter(None, faults.split(',')):
        field, _, number = pair.partition('=')
        if field not in switches.__struct_fields__:
            _fail(f'{pair!r} is not a fault')
        setattr(switches, field, msgspec.json.decode(number or 'true'))
    _serve(bound)


def main() -> None:
    """Run the console script."""
    fire.Fire(
        {
            'engine': run_engine,
            'service': run_service,
            'weights': run_weights,
            'hosts': run_hosts,
            'kv': run_kv,
        },
        name='papayaloom-standin',
    )


if __name__ == '__main__':
    main()
