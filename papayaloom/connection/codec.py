"""Authenticated envelope of control messages with replay protection.

Layout: magic, format version, MessagePack header and body, authentication tag.
The tag also covers the receiver's name, which is not sent, so that a message
captured on its way to one router can't be replayed to another one.
"""

import collections
import enum
import hashlib
import hmac

import msgspec

from papayaloom import errors, ids, messages

_MAGIC = b'PL\x01'
_TAG_BYTES = 16
_WINDOW = 1024
_WINDOW_MASK = (1 << _WINDOW) - 1
# Limits memory after years of replaced hosts. Forged sender names can't fill
# the table, because they fail authentication.
_MAX_WINDOWS = 4096
_KEY_ID_BYTES = 4


class Reason(enum.Enum):
    """Why a received message was dropped."""

    GARBAGE = 'garbage'
    FORMAT = 'format version'
    FOREIGN = 'foreign deployment'
    KEY = 'unknown key'
    AUTHENTICATION = 'authentication'
    REPLAY = 'replay'
    BODY = 'malformed body'


class Cfg(msgspec.Struct, frozen=True):
    """Settings of the codec.

    :param keys: shared secrets; the first one signs, all of them verify.
    :param max_bytes: maximum size of a received message.
    """

    deployment: str
    keys: tuple[bytes, ...]
    max_bytes: int = 65536


class Received(msgspec.Struct, frozen=True):
    """An authenticated message and its sender."""

    sender: ids.RouterId
    boot: int
    message: messages.ControlMessage


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    deployment: str
    key: bytes
    sender: ids.RouterId
    boot: int
    sequence: int
    body: bytes


class _Window(msgspec.Struct):
    boot: int
    newest: int
    seen: int


class DroppedError(errors.CodecError):
    """A received message was dropped.

    :param reason: the check that failed.
    """

    def __init__(self, reason: Reason) -> None:
        """Store the reason for the counters."""
        super().__init__(f'control message dropped: {reason.value}')
        self.reason = reason


def key_id(key: bytes) -> bytes:
    """Return the public identifier of a key."""
    return hashlib.sha256(key).digest()[:_KEY_ID_BYTES]


class Codec:
    """Signs outgoing messages and verifies received ones.

    :param me: name of this router.
    :param boot: number that increases with every start of this router, such as
        the start time in milliseconds since 1970.
    """

    def __init__(self, cfg: Cfg, me: ids.RouterId, boot: int) -> None:
        """Start at sequence number 1."""
        self.dropped: collections.Counter[Reason] = collections.Counter()
        self._me = me
        self._boot = boot
        self._sequence = 0
        self._windows: dict[ids.RouterId, _Window] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
        self._body_decoder = msgspec.msgpack.Decoder(messages.ControlMessage)
        self.configure(cfg)

    def configure(self, cfg: Cfg) -> None:
        """Apply new keys; replay windows and sequence number are kept."""
        if not cfg.keys:
            raise errors.SettingsError('control.keys must hold a key')
        self._cfg = cfg
        self._keys = {key_id(key): key for key in cfg.keys}
        # Largest possible header: both numbers may take up to nine bytes.
        largest = self._encode_envelope((1 << 64) - 1, b'')
        self.overhead = len(largest) + len(_MAGIC) + _TAG_BYTES + 4

    def encode(self, message: messages.Message) -> bytes:
        """Return the encoded body; the packet is ``overhead`` bytes longer."""
        return self._encoder.encode(message)

    def seal(self, body: bytes, receiver: ids.RouterId) -> bytes:
        """Sign a body for one receiver, using the next sequence number."""
        self._sequence += 1
        signed = _MAGIC + self._encode_envelope(self._sequence, body)
        return signed + _sign(self._cfg.keys[0], signed, receiver)

    def open(self, packet: bytes) -> Received:
        """Verify and decode a received message.

        :raises DroppedError: a check failed; the reason is counted.
        """
        try:
            return self._verify_and_decode(packet)
        except DroppedError as exc:
            self.dropped[exc.reason] += 1
            raise

    def forget(self, sender: ids.RouterId) -> None:
        """Discard the replay window of a member that was removed."""
        self._windows.pop(sender, None)

    def _encode_envelope(self, sequence: int, body: bytes) -> bytes:
        return self._encoder.encode(
            _Envelope(
                self._cfg.deployment,
                key_id(self._cfg.keys[0]),
                self._me,
                self._boot,
                sequence,
                body,
            )
        )

    def _verify_and_decode(self, packet: bytes) -> Received:
        envelope = self._verify(packet)
        if not self._is_new(envelope):
            raise DroppedError(Reason.REPLAY)
        try:
            message = self._body_decoder.decode(envelope.body)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise DroppedError(Reason.BODY) from exc
        return Received(envelope.sender, envelope.boot, message)

    def _verify(self, packet: bytes) -> _Envelope:
        signed = packet[:-_TAG_BYTES]
        envelope = self._decode_envelope(packet, signed)
        if envelope.deployment != self._cfg.deployment:
            raise DroppedError(Reason.FOREIGN)
        key = self._keys.get(envelope.key)
        if key is None:
            raise DroppedError(Reason.KEY)
        expected = _sign(key, signed, self._me)
        if not hmac.compare_digest(expected, packet[-_TAG_BYTES:]):
            raise DroppedError(Reason.AUTHENTICATION)
        return envelope

    def _decode_envelope(self, packet: bytes, signed: bytes) -> _Envelope:
        if len(packet) > self._cfg.max_bytes or signed[:2] != _MAGIC[:2]:
            raise DroppedError(Reason.GARBAGE)
        if signed[: len(_MAGIC)] != _MAGIC:
            raise DroppedError(Reason.FORMAT)
        try:
            return self._envelope_decoder.decode(signed[len(_MAGIC) :])
        except (msgspec.DecodeError, RecursionError) as exc:
            raise DroppedError(Reason.GARBAGE) from exc

    def _is_new(self, envelope: _Envelope) -> bool:
        window = self._windows.get(envelope.sender)
        if window is None or envelope.boot > window.boot:
            if len(self._windows) >= _MAX_WINDOWS:
                self._windows.pop(next(iter(self._windows)))
            self._windows[envelope.sender] = _Window(
                envelope.boot, envelope.sequence, 1
            )
            return True
        return envelope.boot == window.boot and _update_window(
            window, envelope.sequence
        )


def _sign(key: bytes, signed: bytes, receiver: ids.RouterId) -> bytes:
    digest = hmac.digest(key, signed + receiver.encode(), 'sha256')
    return digest[:_TAG_BYTES]


def _update_window(window: _Window, sequence: int) -> bool:
    ahead = sequence - window.newest
    if ahead > 0:
        shifted = 0 if ahead >= _WINDOW else window.seen << ahead
        window.seen = (shifted | 1) & _WINDOW_MASK
        window.newest = sequence
        return True
    if ahead <= -_WINDOW or window.seen >> -ahead & 1:
        return False
    window.seen |= 1 << -ahead
    return True
