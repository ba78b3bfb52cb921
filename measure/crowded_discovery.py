"""make measure-crowded_discovery SEED=n: a crowd of callers that a shared service turns away at once.

All watch streams end and all calls are turned away for 12 s. Then the service answers again, one
call of each instance in so many seconds; it queues calls and rejects those that have waited for
over 2 s. The waits are those of the program, and of an earlier revision. The last line is JSON:
seconds until nine in ten and all have a list, and the calls offered, taken and turned away a second
until then.
"""

import argparse
import heapq
import itertools
import json
import sys
from collections.abc import Callable
from typing import Any

from thymeknot.interface.clock import TICKS_PER_SECOND, Ticks
from thymeknot.polling.adaptive_interval import CallResult
from thymeknot.simulation.experiments import load_policy
from thymeknot.simulation.shared_services import PollInterval, Service, poll_interval_of
from thymeknot.state.random_source import LinearCongruentialGenerator

CROWDS = (60, 200, 540)
SECONDS_PER_CALL = (2, 5, 8)  # in which the service answers one call of each instance
DOWN_SECONDS = 12
OBSERVED_SECONDS = 60
TURNED_AWAY_AFTER: Ticks = 10  # until a caller learns that it is turned away
DEFAULT_BASELINE = "at:a4261f3"


class Crowd:
    """Instances that request a list from one service, in simulated time.

    Attributes:
        now: The time.
        lists_at: When each instance got its list.
        service: The service.
    """

    def __init__(self, callers: int, seconds_per_call: float, policy: Any, seed: int) -> None:
        self.now: Ticks = 0
        self._due: list[tuple[Ticks, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self.lists_at: dict[int, Ticks] = {}
        self.service = Service(callers / seconds_per_call, self.schedule, lambda: self.now)
        for caller in range(callers):
            source = LinearCongruentialGenerator((seed * callers + caller + 1) << 33)
            self.schedule(0, self._call, caller, poll_interval_of(policy, source.draw))

    def schedule(self, moment: Ticks, call: Callable[..., None], *arguments: Any) -> None:
        """Schedules a call."""
        heapq.heappush(self._due, (moment, next(self._order), call, arguments))

    def run(self, until: Ticks) -> None:
        """Runs all that is due until a moment."""
        while self._due and self._due[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._due)
            call(*arguments)

    def _call(self, caller: int, interval: PollInterval) -> None:
        began = self.now

        def ended(answered: bool) -> None:
            if answered:
                self.lists_at[caller] = self.now
                return
            wait = interval.record(CallResult.REFUSED, lasted=self.now - began)
            self.schedule(self.now + wait, self._call, caller, interval)

        if self.now < DOWN_SECONDS * TICKS_PER_SECOND:
            self.schedule(self.now + TURNED_AWAY_AFTER, ended, False)
        else:
            self.service.call(ended)


def measure(callers: int, seconds_per_call: float, policy: Any, seed: int) -> dict[str, Any]:
    """Returns the figures of one crowd."""
    crowd = Crowd(callers, seconds_per_call, policy, seed)
    down_until = DOWN_SECONDS * TICKS_PER_SECOND
    crowd.run(down_until + OBSERVED_SECONDS * TICKS_PER_SECOND)
    seconds = sorted((at - down_until) / TICKS_PER_SECOND for at in crowd.lists_at.values())
    whole = len(seconds) == callers
    span = seconds[-1] if whole else OBSERVED_SECONDS
    offered, rejected = crowd.service.call_count, crowd.service.rejected_count
    return {
        "have_list": len(seconds),
        "nine_in_ten_s": seconds[9 * callers // 10 - 1] if len(seconds) >= 0.9 * callers else None,
        "all_s": seconds[-1] if whole else None,
        "offered_per_s": round(offered / span, 1),
        "taken_per_s": round((offered - rejected) / span, 1),
        "turned_away_per_s": round(rejected / span, 1),
    }


def main(arguments: list[str]) -> int:
    """Prints a table, then the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--before", default=DEFAULT_BASELINE)
    options = parser.parse_args(arguments)
    table = {}
    for callers in CROWDS:
        for seconds_per_call in SECONDS_PER_CALL:
            for name in (options.before, "now"):
                policy = load_policy(name)
                figures = measure(callers, seconds_per_call, policy, options.seed)
                table[f"{callers} {seconds_per_call} {name}"] = figures
                print(
                    f"{callers:>4} callers, one call of each in {seconds_per_call} s, {name}:",
                    figures,
                )
    print(json.dumps(table))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
