"""Actors: circuits components, each with a thread, its own state and an event queue."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from typing import Any

from circuits import BaseComponent, Event, Timer, handler
from loguru import logger

ASK_TIMEOUT_S = 30.0


class invoke(Event):  # noqa: N801 (circuits finds handlers by the name of the event's class)
    """Runs a callable in the actor that receives it."""


class tick(Event):  # noqa: N801
    """Calls `on_tick` of the actor that receives it."""


class Actor(BaseComponent):
    """Owns its state; other threads access it only through `post` and `ask`.

    Parameters
    ----------
    tick_interval_s : float
        Time between calls of `on_tick`.
    """

    channel = "task"

    def __init__(self, tick_interval_s: float):
        super().__init__()
        self._tick_interval_s = tick_interval_s
        Timer(tick_interval_s, tick(), self.channel, persist=True).register(self)

    def post(self, function: Callable, *arguments: Any) -> None:
        """Schedule a callable to run in this actor's thread without waiting for it."""
        self.fire(invoke(function, arguments), self.channel)

    def ask(
        self, function: Callable, *arguments: Any, timeout_s: float = ASK_TIMEOUT_S
    ) -> Any:
        """Run a callable in this actor's thread and return its result.

        Raises
        ------
        concurrent.futures.TimeoutError
            If the callable has not finished within `timeout_s`.
        """
        future: Future = Future()
        self.post(_run_and_resolve, future, function, arguments)
        return future.result(timeout=timeout_s)

    @handler("invoke")
    def _on_invoke(self, function: Callable, arguments: tuple) -> None:
        try:
            function(*arguments)
        except Exception:
            logger.exception("callable posted to {} failed", type(self).__name__)

    @handler("tick")
    def _on_tick(self) -> None:
        try:
            self.on_tick()
        except Exception:
            logger.exception("tick of {} failed", type(self).__name__)

    def on_tick(self) -> None:
        """Do periodic work; called at the tick interval, does nothing by default."""


def _run_and_resolve(future: Future, function: Callable, arguments: tuple) -> None:
    try:
        future.set_result(function(*arguments))
    except Exception as error:
        future.set_exception(error)


@contextmanager
def running(actor: Actor) -> Iterator[Actor]:
    """Run an actor in its own thread until the block ends."""
    thread, _ = actor.start()
    try:
        yield actor
    finally:
        actor.stop()
        if thread is not None:
            thread.join(timeout=5.0)
