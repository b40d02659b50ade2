"""JSON encoding and decoding of rows, resources and messages with msgspec."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from cicadabank.model.errors import InvalidInputError

T = TypeVar("T")


def to_builtins(value: Any) -> Any:
    """Convert nested named tuples to dictionaries keyed by field name."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: to_builtins(item) for name, item in value._asdict().items()}
    if isinstance(value, dict):
        return {name: to_builtins(item) for name, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_builtins(item) for item in value]
    return value


def encode(value: Any) -> bytes:
    """Encode a value as JSON; named tuples become objects keyed by field name."""
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
        raise InvalidInputError(f"invalid JSON: {error}", "correct the JSON") from error


def from_builtins(value: Any, result_type: type[T], path: str = "$") -> T:
    """Convert a dictionary to a named tuple, checking each field's type.

    Any other `result_type` is converted by msgspec.

    Raises
    ------
    InvalidInputError
        If a field is unknown, missing or of the wrong type; names the path of the
        first such field.
    """
    if not hasattr(result_type, "_fields"):
        return _convert_value(value, result_type, path)
    if not isinstance(value, dict):
        raise InvalidInputError(
            f"expected an object, got {type(value).__name__} at {path}"
        )
    unknown = sorted(set(value) - set(result_type._fields))
    if unknown:
        raise InvalidInputError(
            f"unknown field {unknown[0]!r} at {path}",
            f"known fields are {', '.join(result_type._fields)}",
        )
    missing = [
        name
        for name in result_type._fields
        if name not in value and name not in result_type._field_defaults
    ]
    if missing:
        raise InvalidInputError(f"the field {missing[0]!r} is missing at {path}")
    hints = _type_hints(result_type)
    fields = {
        name: _convert_field(item, hints[name], f"{path}.{name}")
        for name, item in value.items()
    }
    return result_type(**fields)


def _convert_field(value: Any, hint: Any, path: str) -> Any:
    if hasattr(hint, "_fields"):
        return from_builtins(value, hint, path)
    arguments = getattr(hint, "__args__", ())
    if getattr(hint, "__origin__", None) is tuple and hasattr(arguments[0], "_fields"):
        if not isinstance(value, (list, tuple)):
            raise InvalidInputError(
                f"expected an array, got {type(value).__name__} at {path}"
            )
        return tuple(
            from_builtins(item, arguments[0], f"{path}[{index}]")
            for index, item in enumerate(value)
        )
    return _convert_value(value, hint, path)


def _convert_value(value: Any, hint: Any, path: str) -> Any:
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        text = str(error).partition(" - at ")[0]
        raise InvalidInputError(f"{text} at {path}", "correct the field") from error


_TYPE_HINTS: dict[type, dict[str, Any]] = {}


def _type_hints(result_type: type) -> dict[str, Any]:
    if result_type not in _TYPE_HINTS:
        from typing import get_type_hints

        _TYPE_HINTS[result_type] = get_type_hints(result_type)
    return _TYPE_HINTS[result_type]


def decode_as(data: bytes, result_type: type[T]) -> T:
    """Decode JSON and convert it to `result_type`.

    Raises
    ------
    InvalidInputError
        If `data` is not JSON or a field is unknown, missing or of the wrong type.
    """
    return from_builtins(decode(data), result_type)
