"""Runs many simulations in parallel processes, with progress on standard error."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import TypeVar

Job = TypeVar("Job")
Result = TypeVar("Result")


def run_parallel(
    play: Callable[[Job], Result], jobs: Sequence[Job], processes: int
) -> Iterator[Result]:
    """Yields the results in the order of completion.

    KeyboardInterrupt cancels the jobs that have not started and is raised again.
    """
    with ProcessPoolExecutor(processes) as pool:
        try:
            for number, future in enumerate(
                as_completed([pool.submit(play, job) for job in jobs]), 1
            ):
                yield future.result()
                print(f"\r{number} of {len(jobs)}", end="", file=sys.stderr, flush=True)
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
        finally:
            print(file=sys.stderr)
