"""Stand-in for a worker's task runner."""

from __future__ import annotations

import threading
import time

from cicadabank.model import CicadabankError, decode
from cicadabank.standin.internal.faults import FaultSwitches
from cicadabank.wire import targets_pb2, targets_pb2_grpc

END_STATES = frozenset({"done", "failed", "stopped"})


class _Attempt:
    """The tasks of one attempt on this worker."""

    def __init__(self, start: targets_pb2.TaskStart, now_s: float):
        self.start = start
        self.state = "held"
        self.may_begin = not start.held
        self.lease_until_s = now_s + start.lease_duration_s
        self.reason = ""
        self.answer = b""
        self.checkpoint = start.checkpoint
        self.speed_limit = 1.0
        self.progress_s = 0.0
        self.ended_s = 0.0
        try:
            behaviour = decode(start.payload) if start.payload else {}
        except CicadabankError:
            behaviour = {}
        self.behaviour = behaviour if isinstance(behaviour, dict) else {}
        if start.checkpoint:
            self.progress_s = float(start.checkpoint.rpartition(":")[2])

    @property
    def run_s(self) -> float:
        return float(self.behaviour.get("run_s", 0.2))

    def advance(self, now_s: float, elapsed_s: float, fail_all: bool) -> None:
        """Advance the tasks' state to `now_s`."""
        if self.state in END_STATES:
            return
        if now_s > self.lease_until_s:
            self._end("stopped", "lease-lapsed", now_s)
            return
        if self.state == "held" and self.may_begin:
            self.state = "running"
        if self.state != "running":
            return
        self.progress_s += elapsed_s * self.speed_limit
        if fail_all or self.behaviour.get("fail"):
            self._end("failed", "the task exited with status 1", now_s)
        elif self.progress_s >= self.run_s:
            self.answer = self._answer()
            self._end("done", "", now_s)

    def _answer(self) -> bytes:
        text = str(self.behaviour.get("answer", f"{self.start.tasks} tasks done"))
        return text.encode() * int(self.behaviour.get("answer_repeat", 1))

    def _end(self, state: str, reason: str, now_s: float) -> None:
        self.state, self.reason, self.ended_s = state, reason, now_s

    def begin(self, now_s: float, lease_duration_s: float) -> None:
        self.may_begin = True
        self.lease_until_s = max(self.lease_until_s, now_s + lease_duration_s)

    def stop(self, now_s: float) -> None:
        if self.state not in END_STATES:
            self._end("stopped", "stopped by order", now_s)


class RunnerStandIn(targets_pb2_grpc.RunnerServicer):
    """Runs simulated tasks, whose payload tells how they behave.

    The payload may be JSON with ``run_s``, ``fail``, ``answer``, ``answer_repeat``,
    ``cores`` and ``memory_mb``; otherwise defaults apply.
    """

    def __init__(self, accelerators: int, faults: FaultSwitches):
        self.accelerators = accelerators
        self.faults = faults
        self.starts: list[str] = []
        self._attempts: dict[str, _Attempt] = {}
        self._epoch = 0
        self._advanced_s = time.monotonic()
        self._lock = threading.RLock()
        self._snapshots: list[tuple[float, targets_pb2.UsageReport]] = []

    def _advance(self) -> float:
        now_s = time.monotonic()
        elapsed_s, self._advanced_s = now_s - self._advanced_s, now_s
        for attempt in self._attempts.values():
            attempt.advance(now_s, elapsed_s, bool(self.faults.get("fail_all")))
        return now_s

    def _clock_s(self) -> float:
        return time.time() + self.faults.get("freeze_clock_s")

    def Start(self, request, context):  # noqa: N802
        """Start an attempt's tasks under a lease; idempotent."""
        self.faults.apply_before(context)
        with self._lock:
            reason = self._start_refusal(request)
            if not reason and request.attempt not in self._attempts:
                self._attempts[request.attempt] = _Attempt(request, self._advance())
                self.starts.append(request.attempt)
        self.faults.apply_after_write(context)
        return targets_pb2.TaskStarted(accepted=not reason, reason=reason)

    def Begin(self, request, context):  # noqa: N802
        """Let the tasks of a held attempt run; idempotent."""
        self.faults.apply_before(context)
        with self._lock:
            now_s = self._advance()
            attempt = self._attempts.get(request.attempt)
            reason = self._order_refusal(request)
            if not reason and (attempt is None or attempt.state in END_STATES):
                reason = "the attempt is not held here"
            if not reason:
                attempt.begin(now_s, request.lease_duration_s)
        self.faults.apply_after_write(context)
        return targets_pb2.TaskStarted(accepted=not reason, reason=reason)

    def _order_refusal(self, request) -> str:
        if request.epoch < self._epoch:
            return f"the epoch {request.epoch} is below {self._epoch}"
        self._epoch = request.epoch
        if request.not_after_unix_s and self._clock_s() > request.not_after_unix_s:
            return "the order arrived after its deadline"
        return ""

    def _start_refusal(self, request: targets_pb2.TaskStart) -> str:
        reason = self._order_refusal(request)
        if reason:
            return reason
        self._advance()
        busy_accelerators = sum(
            other.start.accelerators
            for other in self._attempts.values()
            if other.state not in END_STATES
        )
        if (
            request.attempt not in self._attempts
            and busy_accelerators + request.accelerators > self.accelerators
        ):
            return f"{busy_accelerators} of {self.accelerators} accelerators are busy"
        return ""

    def Renew(self, request, context):  # noqa: N802
        """Renew the leases of attempts; the reply names unknown ones."""
        self.faults.apply_before(context)
        with self._lock:
            now_s = self._advance()
            unknown = [name for name in request.attempts if name not in self._attempts]
            for name in request.attempts:
                attempt = self._attempts.get(name)
                if attempt is not None and request.epoch >= self._epoch:
                    attempt.lease_until_s = max(
                        attempt.lease_until_s, now_s + request.lease_duration_s
                    )
        return targets_pb2.LeaseRenewed(unknown=unknown)

    def Checkpoint(self, request, context):  # noqa: N802
        """Checkpoint an attempt's progress; return the checkpoint's name."""
        self.faults.apply_before(context)
        with self._lock:
            self._advance()
            attempt = self._attempts.get(request.attempt)
            if attempt is None:
                return targets_pb2.TaskCheckpoint()
            attempt.checkpoint = f"checkpoint:{attempt.progress_s:.3f}"
            return targets_pb2.TaskCheckpoint(checkpoint=attempt.checkpoint)

    def Throttle(self, request, context):  # noqa: N802
        """Limit an attempt to a share, from 0 to 1, of its full speed."""
        self.faults.apply_before(context)
        with self._lock:
            self._advance()
            if request.attempt in self._attempts:
                self._attempts[request.attempt].speed_limit = min(
                    1.0, max(0.0, request.share)
                )
        return targets_pb2.Empty()

    def Stop(self, request, context):  # noqa: N802
        """Stop an attempt's tasks."""
        self.faults.apply_before(context)
        with self._lock:
            now_s = self._advance()
            if request.epoch >= self._epoch and request.attempt in self._attempts:
                self._attempts[request.attempt].stop(now_s)
        return targets_pb2.Empty()

    def Forget(self, request, context):  # noqa: N802
        """Delete the record of an ended attempt."""
        self.faults.apply_before(context)
        with self._lock:
            self._advance()
            attempt = self._attempts.get(request.attempt)
            if attempt is not None and attempt.state in END_STATES:
                del self._attempts[request.attempt]
        return targets_pb2.Empty()

    def Usage(self, request, context):  # noqa: N802
        """Report the usage of all attempts as it was ``usage_lag_s`` ago."""
        self.faults.apply_before(context)
        lag_s = self.faults.get("usage_lag_s")
        with self._lock:
            now_s = self._advance()
            self._snapshots.append((now_s, self._report(lag_s)))
            reportable = [
                snapshot for snapshot in self._snapshots if snapshot[0] <= now_s - lag_s
            ]
            if not reportable:
                return targets_pb2.UsageReport(
                    lag_s=lag_s, clock_unix_s=self._clock_s()
                )
            self._snapshots = [
                reportable[-1],
                *(
                    snapshot
                    for snapshot in self._snapshots
                    if snapshot[0] > reportable[-1][0]
                ),
            ]
            return reportable[-1][1]

    def _report(self, lag_s: float) -> targets_pb2.UsageReport:
        report = targets_pb2.UsageReport(lag_s=lag_s, clock_unix_s=self._clock_s())
        for name, attempt in self._attempts.items():
            report.tasks.add(
                attempt=name,
                state=attempt.state,
                cores=float(attempt.behaviour.get("cores", attempt.start.tasks))
                * attempt.speed_limit,
                memory_mb=float(attempt.behaviour.get("memory_mb", 512)),
                run_s=attempt.progress_s,
                answer=attempt.answer,
                reason=attempt.reason,
                checkpoint=attempt.checkpoint,
                epoch=attempt.start.epoch,
            )
        return report
