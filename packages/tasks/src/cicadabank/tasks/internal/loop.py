"""A task: a circuits component with a thread, its own state and a mailbox."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from typing import Any

from circuits import BaseComponent, Event, Timer, handler
from loguru import logger

POST_TIMEOUT_S = 30.0


class invoke(Event):  # noqa: N801 (circuits finds handlers by the name of the event's class)
    """Runs a callable in the task that receives it."""


class tick(Event):  # noqa: N801
    """Tells a task that time has passed."""


class Task(BaseComponent):
    """Owns its state; other threads talk to it by `post` and `ask` only.

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
        """Run a callable in this task's thread, some time later."""
        self.fire(invoke(function, arguments), self.channel)

    def ask(
        self, function: Callable, *arguments: Any, timeout_s: float = POST_TIMEOUT_S
    ) -> Any:
        """Run a callable in this task's thread and return its result.

        Raises
        ------
        concurrent.futures.TimeoutError
            If the task did not get to it in time.
        """
        future: Future = Future()
        self.post(_settle, future, function, arguments)
        return future.result(timeout=timeout_s)

    @handler("invoke")
    def _on_invoke(self, function: Callable, arguments: tuple) -> None:
        try:
            function(*arguments)
        except Exception:
            logger.exception("a message to {} failed", type(self).__name__)

    @handler("tick")
    def _on_tick(self) -> None:
        try:
            self.on_tick()
        except Exception:
            logger.exception("the tick of {} failed", type(self).__name__)

    def on_tick(self) -> None:
        """Act on the passing of time; overridden by tasks that do."""


def _settle(future: Future, function: Callable, arguments: tuple) -> None:
    try:
        future.set_result(function(*arguments))
    except Exception as error:
        future.set_exception(error)


@contextmanager
def running(task: Task) -> Iterator[Task]:
    """Run a task in a thread of its own until the block ends."""
    thread, _ = task.start()
    try:
        yield task
    finally:
        task.stop()
        if thread is not None:
            thread.join(timeout=5.0)
