"""Start calls to a target that got no reply, and may be carried out late."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.scheduling import RunId

# A call that got no reply is carried out within this time, or never.
MAX_CALL_DELAY_S = 12.0


class LateStart(NamedTuple):
    """A start call that got no reply and may be carried out later.

    Attributes
    ----------
    called_s : float
        Time by which the call had been made.
    fence : int
        Highest fencing token that the call may carry.
    started_ms : int
        Start of the incarnation for which the call was meant.
    """

    called_s: float
    fence: int
    started_ms: int


class LateStarts:
    """Tracks which start calls to a target may still be carried out.

    Attributes
    ----------
    lease_call_s : float
        When a call that may set the target's lease was last made.
    """

    def __init__(self):
        self.lease_call_s = float("-inf")
        self._open: set[RunId] = set()  # starts whose call is not finished
        self._unanswered: dict[RunId, LateStart] = {}

    def on_called(self, run: RunId, now_s: float) -> None:
        """Record that a start call is made."""
        self._open.add(run)
        self.lease_call_s = now_s

    def on_finished(self, run: RunId) -> None:
        """Record that the start call of a run is finished, or was not made."""
        self._open.discard(run)

    def on_unanswered(
        self, run: RunId, now_s: float, fence: int, started_ms: int
    ) -> None:
        """Record that a start call got no reply."""
        self.lease_call_s = now_s
        self._unanswered[run] = LateStart(now_s, fence, started_ms)

    def forget_void(self, asked_s: float, fence: int, started_ms: int) -> None:
        """Forget late starts that can't be carried out any more.

        Either their time is over, or they were meant for the incarnation before: the
        present one rejects them once it has seen a higher fencing token. The same token
        does not end those that were meant for the present one, since its successor
        won't have seen it.

        Parameters
        ----------
        asked_s : float
            When a list of the present incarnation was requested.
        fence : int
            With which it was requested.
        started_ms : int
            Start of the present incarnation.
        """
        self._unanswered = {
            run: late
            for run, late in self._unanswered.items()
            if asked_s <= late.called_s + MAX_CALL_DELAY_S
            and (late.started_ms == started_ms or fence <= late.fence)
        }

    def clear(self) -> None:
        """Forget all starts: the present target rejects the calls to the last one."""
        self._open.clear()
        self._unanswered.clear()

    def runs(self) -> list[RunId]:
        """Return the runs whose start calls may still be carried out."""
        return sorted(self._open | self._unanswered.keys())

    def lease_call_age_s(self, now_s: float) -> float:
        """Return the age of the latest call that may have set the target's lease."""
        return 0.0 if self._open else now_s - self.lease_call_s
