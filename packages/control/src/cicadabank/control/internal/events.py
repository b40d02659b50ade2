"""Structured log lines for events."""

from __future__ import annotations

from loguru import logger


def log_event(event: str, **fields: object) -> None:
    """Log an event with its fields."""
    logger.bind(event=event, **fields).info(event)
