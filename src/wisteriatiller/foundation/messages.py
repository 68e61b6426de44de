"""Typed messages between hosts and their msgpack encoding.

A message is a frozen dataclass registered with ``@message(kind)``. On the wire it is
the array ``[version, kind, field, ...]``::

    data = encode(LeaseRelease(zone="brest", shard_index=3, epoch=7))
    decode(data)
"""

import types
import typing
from dataclasses import dataclass, fields

import msgpack

from wisteriatiller.exceptions import MessageError

VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

_types_by_kind: dict[int, type] = {}
_kinds_by_type: dict[type, int] = {}
_checks_by_type: dict[type, tuple] = {}


class Message:
    """Base of every message between hosts."""

    __slots__ = ()


def _plain_types(annotation) -> tuple[type, ...]:
    """The runtime types that a decoded field may have."""
    if isinstance(annotation, typing.NewType):
        return _plain_types(annotation.__supertype__)
    if isinstance(annotation, types.UnionType):
        return tuple(t for arg in annotation.__args__ for t in _plain_types(arg))
    origin = typing.get_origin(annotation)
    if origin is not None:
        return (origin,)
    if annotation is float:
        return (float, int)
    return (annotation,)


def message(kind: int):
    """Register a dataclass as the message with number ``kind``."""

    def register(cls):
        cls = dataclass(frozen=True, slots=True)(cls)
        if kind in _types_by_kind:
            raise ValueError(f"message kind {kind} is taken")
        hints = typing.get_type_hints(cls)
        _types_by_kind[kind] = cls
        _kinds_by_type[cls] = kind
        _checks_by_type[cls] = tuple(
            (field.name, _plain_types(hints[field.name])) for field in fields(cls)
        )
        return cls

    return register


def encode(value: Message) -> bytes:
    cls = type(value)
    body = [getattr(value, name) for name, _ in _checks_by_type[cls]]
    return msgpack.packb([VERSION, _kinds_by_type[cls], *body])


def decode(data: bytes) -> Message:
    """Read a message; raise ``MessageError`` if it is not a valid one."""
    try:
        version, kind, *body = msgpack.unpackb(data, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MessageError(f"undecodable message: {error}") from error
    if version != VERSION:
        raise MessageError(f"unknown message version {version!r}")
    cls = _types_by_kind.get(kind) if isinstance(kind, int) else None
    if cls is None:
        raise MessageError(f"unknown message kind {kind!r}")
    checks = _checks_by_type[cls]
    if len(body) != len(checks):
        raise MessageError(f"{cls.__name__}: expected {len(checks)} fields")
    for (name, allowed), item in zip(checks, body, strict=True):
        if not isinstance(item, allowed):
            raise MessageError(f"{cls.__name__}.{name}: wrong type")
    return cls(*body)
