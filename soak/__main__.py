"""Runs the soak: ``python -m soak --seeds 50``."""

from __future__ import annotations

import random
import sys
import tempfile
import time
from argparse import ArgumentParser
from pathlib import Path
from typing import NamedTuple

from soak.book import Book, Broken
from soak.deployment import CAPACITY, DOMAINS, deployment_running, wait_for
from soak.faults import Schedule, plan
from soak.kept import KEPT
from soak.load import KEY, configuration, load_running

READY_S = 30.0
# After the last fault: a lease of 8 s, takeovers, and the work that has queued up.
SETTLE_S = 75.0


class Options(NamedTuple):
    """How one soak is played."""

    entries: int = 3
    targets: int = 6
    callers: int = 6
    faults: int = 8
    length_s: float = 20.0


class Result(NamedTuple):
    """What a soak has found."""

    seed: int
    broken: list[Broken]
    accepted: int
    ends: dict[str, int]
    traces: list[str]
    took_s: float


def soak(seed: int, options: Options, folder: Path) -> Result:
    """Play one seed."""
    rng, began_s = random.Random(seed), time.monotonic()
    domains = {f"t{n}": DOMAINS[n % len(DOMAINS)] for n in range(options.targets)}
    book = Book(domains, CAPACITY)
    with deployment_running(folder, book, options.entries, options.targets) as made:
        made.store.put("op", "config", configuration(1, 0, [KEY]))
        with load_running(made, book, rng, options.callers) as caller:
            if not wait_for(lambda: sum(book.ends.values()) > 0, READY_S):
                book.breaks("a calm deployment runs jobs", "nothing has run")
            schedule = Schedule(made, plan(rng, made, options.faults, options.length_s))
            schedule.play()
            made.heal()
        settled = wait_for(lambda: _settled(book, caller), SETTLE_S)
        if not settled:
            for job in book.settled():
                book.breaks("every accepted job ends", f"{job.job} is {job.state!r}")
        accepted = sum(job.accepted_s is not None for job in book.jobs.values())
        return Result(
            seed,
            book.broken,
            accepted,
            dict(book.ends),
            made.traces(),
            time.monotonic() - began_s,
        )


def _settled(book: Book, caller) -> bool:
    left = book.settled()
    for job in left:
        caller.look_again(job)
    return not book.settled()


def report(result: Result, folder: Path) -> None:
    """Print what a seed has found."""
    verdict = "BROKEN" if result.broken or result.traces else "ok"
    ends = " ".join(f"{kind} {count}" for kind, count in sorted(result.ends.items()))
    print(
        f"seed {result.seed}: {verdict}, {result.accepted} jobs, {ends}, "
        f"{result.took_s:.0f} s",
        flush=True,
    )
    for broken in result.broken[:20]:
        print(f"  {broken.promise}: {broken.detail[:300]}")
    for line in result.traces[:10]:
        print(f"  {line}")
    if verdict != "ok":
        print(f"  logs: {folder}", flush=True)


def main() -> None:
    """Play seeds, and exit with 1 if any promise was broken."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--folder", type=Path, default=None)
    parser.add_argument("--kept", action="store_true", help="play the kept seeds")
    for name, default in Options()._asdict().items():
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=type(default), default=default)
    parsed = parser.parse_args()
    options = Options(**{name: getattr(parsed, name) for name in Options._fields})
    base = parsed.folder or Path(tempfile.mkdtemp(prefix="soak-"))
    failed = []
    drawn = range(parsed.first, parsed.first + parsed.seeds)
    seeds = list(KEPT) if parsed.kept else list(drawn)
    for seed in seeds:
        folder = base / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        result = soak(seed, options, folder)
        report(result, folder)
        if result.broken or result.traces:
            failed.append(seed)
    print(f"{len(seeds)} seeds, {len(failed)} broken: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
