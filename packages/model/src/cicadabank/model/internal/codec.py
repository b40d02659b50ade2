"""JSON encoding of rows, resources and messages, by msgspec."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from cicadabank.model.errors import InvalidInputError

T = TypeVar("T")


def to_builtins(value: Any) -> Any:
    """Turn nested named tuples into dictionaries, so that rows name their fields."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: to_builtins(item) for name, item in value._asdict().items()}
    if isinstance(value, dict):
        return {name: to_builtins(item) for name, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_builtins(item) for item in value]
    return value


def encode(value: Any) -> bytes:
    """Encode a named tuple, or any JSON-like value, as JSON with named fields."""
    return msgspec.json.encode(to_builtins(value))


def decode(data: bytes) -> Any:
    """Decode JSON.

    Raises
    ------
    InvalidInputError
        If `data` is not JSON.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidInputError(
            f"the text is not JSON: {error}", "correct the JSON"
        ) from error


def from_builtins(value: Any, kind: type[T], path: str = "$") -> T:
    """Build a named tuple from a dictionary, checking each field's type.

    Raises
    ------
    InvalidInputError
        With the path of the first fault and what was expected there.
    """
    if not hasattr(kind, "_fields"):
        return _convert(value, kind, path)
    if not isinstance(value, dict):
        raise InvalidInputError(
            f"expected an object, got {type(value).__name__} at {path}"
        )
    unknown = sorted(set(value) - set(kind._fields))
    if unknown:
        raise InvalidInputError(
            f"unknown field {unknown[0]!r} at {path}",
            f"known fields are {', '.join(kind._fields)}",
        )
    missing = [
        f for f in kind._fields if f not in value and f not in kind._field_defaults
    ]
    if missing:
        raise InvalidInputError(f"the field {missing[0]!r} is missing at {path}")
    hints = _hints(kind)
    fields = {
        name: _field(item, hints[name], f"{path}.{name}")
        for name, item in value.items()
    }
    return kind(**fields)


def _field(value: Any, hint: Any, path: str) -> Any:
    if hasattr(hint, "_fields"):
        return from_builtins(value, hint, path)
    arguments = getattr(hint, "__args__", ())
    if getattr(hint, "__origin__", None) is tuple and hasattr(arguments[0], "_fields"):
        if not isinstance(value, (list, tuple)):
            raise InvalidInputError(
                f"expected an array, got {type(value).__name__} at {path}"
            )
        return tuple(
            from_builtins(v, arguments[0], f"{path}[{i}]") for i, v in enumerate(value)
        )
    return _convert(value, hint, path)


def _convert(value: Any, hint: Any, path: str) -> Any:
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        text = str(error).partition(" - at ")[0]
        raise InvalidInputError(f"{text} at {path}", "correct the field") from error


_HINTS: dict[type, dict[str, Any]] = {}


def _hints(kind: type) -> dict[str, Any]:
    if kind not in _HINTS:
        from typing import get_type_hints

        _HINTS[kind] = get_type_hints(kind)
    return _HINTS[kind]


def decode_as(data: bytes, kind: type[T]) -> T:
    """Decode JSON into `kind`, naming the path of the first fault.

    Raises
    ------
    InvalidInputError
        If the text is not JSON or a field doesn't fit.
    """
    return from_builtins(decode(data), kind)
