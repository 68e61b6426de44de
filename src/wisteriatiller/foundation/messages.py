"""Typed messages between hosts and their msgpack encoding.

A message is a frozen dataclass registered with ``@message(kind)``. It is encoded as
the array ``[version, kind, field, ...]``::

    data = encode(HandoverOffer(zone="brest", index=3, epoch=7))
    decode(data)
"""

import types
import typing
from dataclasses import dataclass, fields

import msgpack

from wisteriatiller.exceptions import MessageError

ENCODING_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

_types_by_kind: dict[int, type] = {}
_kinds_by_type: dict[type, int] = {}
_fields_by_type: dict[type, tuple] = {}


class Message:
    """Base class of all messages between hosts."""

    __slots__ = ()


def _runtime_types(annotation) -> tuple[type, ...]:
    """Return the runtime types that a decoded field with this annotation may have."""
    if isinstance(annotation, typing.NewType):
        return _runtime_types(annotation.__supertype__)
    if isinstance(annotation, types.UnionType):
        return tuple(t for arg in annotation.__args__ for t in _runtime_types(arg))
    origin = typing.get_origin(annotation)
    if origin is not None:
        return (origin,)
    if annotation is float:
        return (float, int)
    return (annotation,)


def message(kind: int):
    """Return a class decorator that registers a message type.

    The decorator makes the class a frozen dataclass. ``kind`` identifies the type in
    encoded messages.
    """

    def register(cls):
        cls = dataclass(frozen=True, slots=True)(cls)
        if kind in _types_by_kind:
            raise ValueError(f"message kind {kind} is already registered")
        hints = typing.get_type_hints(cls)
        _types_by_kind[kind] = cls
        _kinds_by_type[cls] = kind
        _fields_by_type[cls] = tuple(
            (field.name, _runtime_types(hints[field.name])) for field in fields(cls)
        )
        return cls

    return register


def encode(value: Message) -> bytes:
    """Encode a message of a registered type."""
    cls = type(value)
    body = [getattr(value, name) for name, _ in _fields_by_type[cls]]
    return msgpack.packb([ENCODING_VERSION, _kinds_by_type[cls], *body])


def decode(data: bytes) -> Message:
    """Decode a message and check the types of its fields.

    Raises ``MessageError`` if the message is invalid.
    """
    try:
        version, kind, *body = msgpack.unpackb(data, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MessageError(f"undecodable message: {error}") from error
    if version != ENCODING_VERSION:
        raise MessageError(f"unknown message version {version!r}")
    cls = _types_by_kind.get(kind) if isinstance(kind, int) else None
    if cls is None:
        raise MessageError(f"unknown message kind {kind!r}")
    expected_fields = _fields_by_type[cls]
    if len(body) != len(expected_fields):
        raise MessageError(
            f"{cls.__name__}: expected {len(expected_fields)} fields, got {len(body)}"
        )
    for (name, allowed_types), field_value in zip(expected_fields, body, strict=True):
        if not isinstance(field_value, allowed_types):
            raise MessageError(f"{cls.__name__}.{name}: wrong type")
    return cls(*body)
