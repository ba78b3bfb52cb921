"""Checkers of the five rules. They see what an instance was told, took, sent and answered, and share no code with what
they check: plain lists of moments, no rings. Each keeps its breaches as sentences.
"""

from bisect import bisect_left
from collections import defaultdict


class InvariantChecker:
    """grace: for drains. window, allowance: of exposure. cap_grace: a lower cap binds after it."""

    def __init__(
        self,
        lanes,
        grace,
        window,
        allowance,
        by_lane=False,
        guarded=0,
        cold=0,
        cold_from=1.0,
        multiple=2.0,
        overload=0,
        slack=50,
    ):
        self.lanes, self.grace, self.window, self.allowance = lanes, grace, window, allowance
        self.by_lane, self.guarded, self.cold, self.cold_from = by_lane, guarded, cold, cold_from
        self.multiple, self.overload, self.slack, self.broken = multiple, overload, slack, []
        self.open, self.over = {}, {}
        self.runs, self.sent_of = defaultdict(list), defaultdict(list)
        self.gone = defaultdict(dict)
        self.taken_at, self.tried_at, self.caps = (
            defaultdict(list),
            defaultdict(list),
            defaultdict(list),
        )
        self.kept = defaultdict(dict)
        self.cold_work, self.starts, self.overrun = defaultdict(list), defaultdict(dict), 0.0

    def _broke(self, rule, now, text):
        self.broken.append((rule, now, text))

    # What an instance is told.

    def listed(self, now, instance, pod, state):
        """state: as told; ready takes back an earlier one."""
        if state == "ready":
            self.gone[instance].pop(pod, None)
        else:
            self.gone[instance].setdefault(pod, now)

    def started(self, instance, pod, at):
        """It was told that the pod runs since then."""
        self.starts[instance][pod] = at

    def cap(self, now, instance, build, cap, stage, phase):
        self.caps[instance].append((now, build, cap, stage, phase))

    # What it does.

    def taken(self, now, instance, name, lane, ends):
        self.open[instance, name] = lane, ends
        self.taken_at[instance, lane if self.by_lane else ""].append(now)

    def answered(self, now, instance, name, how):
        """how: done, deferred or abandoned."""
        held = self.open.pop((instance, name), None)
        if held is None:
            again = (instance, name) in self.over
            return self._broke(1, now, f"{name}: {'a second answer' if again else 'never taken'}")
        lane, ends = held
        self.over[instance, name] = how
        if now > ends + self.slack:
            self._broke(1, now, f"{name}: answered {now - ends} late")
        effect = self.lanes[lane].idempotency
        if how == "deferred" and effect != "retriable":
            unproved = [one for one in self.sent_of[instance, name] if one["run"] is not False]
            if unproved and (
                effect == "binding"
                or now > unproved[0]["at"] + self.lanes[lane].deduplication_window
            ):
                self._broke(2, now, f"{name}: deferred though it may have run")
        return None

    def killed(self, now, instance):
        """What it held is no longer its duty, and the next one starts with nothing."""
        for key in [key for key in self.open if key[0] == instance]:
            del self.open[key]
        for held in (self.gone, self.kept, self.starts):
            held.pop(instance, None)
        for held in (
            self.taken_at,
            self.tried_at,
        ):  # what an earlier life took is no allowance of this one
            for key in [key for key in held if key[0] == instance]:
                del held[key]

    def ended(self, now):
        """At the end of a day: whatever is open past its time was lost."""
        for (_, name), (_, ends) in self.open.items():
            if now > ends + self.slack:
                self._broke(1, now, f"{name}: no answer")

    def sent(
        self, now, instance, name, pod, build, lane, key=None, work=1.0, started=0, capacity=1.0
    ):
        """A delivery goes out. capacity: what the pod does in a tenth of a millisecond when warm, in units of work."""
        told = self.gone[instance].get(pod)
        if told is not None and now > told + self.grace:
            self._broke(3, now, f"{name}: to {pod} {now - told} after it was told gone")
        earlier = [one for one in self.sent_of[instance, name] if one["run"] is not False]
        effect = self.lanes[lane].idempotency
        if earlier and effect == "binding":
            self._broke(2, now, f"{name}: sent again though it may have run")
        if (
            earlier
            and effect == "fingerprinted"
            and now > earlier[0]["at"] + self.lanes[lane].deduplication_window
        ):
            self._broke(2, now, f"{name}: sent again after its window")
        self.sent_of[instance, name].append({"at": now, "run": None})
        if (instance, name) in self.over:
            self._broke(1, now, f"{name}: sent after its answer")
        self._exposed(now, instance, name, build, lane, key)
        if started and now < started + self.cold:
            self._pushed(
                now, pod, started, work, capacity, self.starts[instance].get(pod) == started
            )

    def _exposed(self, now, instance, name, build, lane, key):
        told = self.caps[instance][-1] if self.caps[instance] else None
        if told is None:
            return
        at, newest, cap, stage, phase = told
        if (
            key is not None
            and key in self.kept[instance]
            and self.kept[instance][key] == newest > build
            and phase in ("trial", "released")
        ):
            self._broke(
                5, now, f"{name}: its key was answered by build {newest} and goes to {build}"
            )
        if build != newest or phase != "trial":
            return
        if stage < self.guarded and self.lanes[lane].idempotency != "retriable":
            self._broke(5, now, f"{name}: {lane} in guarded stage {stage}")
        counted = lane if self.by_lane else ""
        tried, taken = self.tried_at[instance, newest, counted], self.taken_at[instance, counted]
        tried.append(now)
        within = len(tried) - bisect_left(tried, now - self.window)
        known = len(taken) - bisect_left(taken, now - self.window)
        caps = [
            one[2] for one in self.caps[instance] if one[1] == newest and one[0] > now - self.window
        ]
        highest = max(caps + [cap])  # a lower cap binds once the window has passed
        if within > self.allowance + highest * known + 1e-9:
            self._broke(
                5,
                now,
                f"{name}: {within} deliveries to build {newest}, {self.allowance} and {highest} of "
                f"{known} allowed",
            )

    def _pushed(self, now, pod, started, work, capacity, told):
        """All instances together; it is theirs if two thirds came from such as were told of its start."""
        sent = self.cold_work[pod, started]
        sent.append((now, work, told))
        begin = now - self.overload
        share = self.cold_from + (1 - self.cold_from) * max(0, begin - started) / self.cold
        total = sum(one for at, one, _ in sent if at > begin)
        known = sum(one for at, one, told in sent if at > begin and told)
        least = self.multiple * share * capacity * self.overload
        self.overrun = max(self.overrun, total / (least * 1.1 + 4 * work))
        if total > least * 1.1 + 4 * work and known >= total * 2 / 3:
            self._broke(
                4, now, f"{pod}: {total:.0f} of work in {self.overload}, {least:.0f} push it over"
            )

    def proved(self, instance, name, number, ran):
        """How a delivery ended: ran is True, False (never) or None (it may have)."""
        self.sent_of[instance, name][number]["run"] = ran

    def key_answered(self, instance, key, build):
        self.kept[instance][key] = build

    def ran(self, now, name, lane):
        """A pod carried it out."""
        self.runs[name].append(now)
        if self.lanes[lane].idempotency == "binding" and len(self.runs[name]) > 1:
            self._broke(2, now, f"{name}: ran {len(self.runs[name])} times")

    def rules_broken(self):
        return sorted({rule for rule, _, _ in self.broken})
