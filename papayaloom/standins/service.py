"""Stand-in of services other than engines, such as an order service.

Every call except GET and HEAD has an effect, which is recorded in a log. The
protocol is described in :mod:`papayaloom.ports.service`.
"""

import threading

import cheroot.wsgi
import msgspec

from papayaloom import errors, ids
from papayaloom.ports import engine, service
from papayaloom.standins import faults, wsgi

_SAFE_METHODS = frozenset(('GET', 'HEAD'))


class Effect(msgspec.Struct, frozen=True):
    """One effect of a call.

    :param key: idempotency key; empty if the call had none.
    """

    number: int
    key: str
    replica: str
    path: str
    body: str


class EffectLog:
    """Effects of all replicas of one service."""

    def __init__(self) -> None:
        """Start empty."""
        self.effects: list[Effect] = []
        self.by_key: dict[str, list[Effect]] = {}
        self._lock = threading.Lock()

    def execute(
        self,
        call: service.Call,
        replica: str,
        *,
        checks_keys: bool,
    ) -> tuple[Effect, bool]:
        """Execute a call, or return the earlier effect of its key.

        :returns: the effect, and whether an earlier call had it.
        """
        key = call.headers.get('Idempotency-Key', '')
        with self._lock:
            earlier = self.by_key.get(key, [])
            if checks_keys and key and earlier:
                return earlier[0], True
            body = call.body.decode(errors='replace')
            number = len(self.effects) + 1
            effect = Effect(number, key, replica, call.path, body)
            self.effects.append(effect)
            self.by_key.setdefault(key, []).append(effect)
            return effect, False

    def doubled(self) -> int:
        """Return the number of keys with more than one effect."""
        return sum(
            len(effects) > 1 for key, effects in self.by_key.items() if key
        )


class Replica:
    """One replica of a service.

    :param checks_keys: apply each idempotency key at most once.
    """

    def __init__(
        self,
        name: str,
        service_id: ids.ServiceId,
        log: EffectLog,
        *,
        checks_keys: bool = False,
    ) -> None:
        """Start without calls."""
        self.faults = faults.Faults()
        self.log = log
        self._name = name
        self._service_id = service_id
        self._checks_keys = checks_keys

    def call(self, call: service.Call) -> service.Reply:
        """Execute a call and return only the reply."""
        return self.answer(call)[0]

    def answer(self, call: service.Call) -> tuple[service.Reply, bool]:
        """Execute a call.

        :returns: the reply, and whether it repeats that of an earlier call.
        :raises errors.RefusedError: the replica did not start the call.
        :raises errors.UpstreamError: an injected fault lost it.
        """
        if self.faults.leaving:
            title = 'the replica is leaving'
            raise errors.RefusedError(
                errors.Problem(title, 503, type=engine.LEAVING)
            )
        self.faults.before()
        repeated = False
        if call.method in _SAFE_METHODS:
            content = msgspec.json.encode({'log': self.log.effects[-100:]})
        else:
            effect, repeated = self.log.execute(
                call, self._name, checks_keys=self._checks_keys
            )
            content = msgspec.json.encode({'effect': effect.number})
        self.faults.after()
        return service.Reply(200, content, 'application/json'), repeated

    def state(self) -> service.State:
        """Return the state of the replica."""
        return service.State(
            self._name, self._service_id, leaving=self.faults.leaving
        )


def server(replica: Replica, address: str) -> cheroot.wsgi.Server:
    """Return a bound server of a replica."""

    def handle(call: wsgi.Call) -> wsgi.Reply:
        if call.path == ('health',):
            return wsgi.Reply(503 if replica.faults.leaving else 200)
        if call.path == ('v1', 'state'):
            return wsgi.json_reply(replica.state())
        headers = {
            'Idempotency-Key': call.headers.get('idempotency-key', ''),
        }
        path = '/'.join(call.path)
        reply, repeated = replica.answer(
            service.Call(call.method, f'/{path}', headers, call.body)
        )
        extra_headers = (('X-Repeated', 'yes'),) if repeated else ()
        return wsgi.Reply(
            reply.status, reply.body, reply.content_type, extra_headers
        )

    return wsgi.server(address, handle, replica.faults)
