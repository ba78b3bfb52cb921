"""The unit's own side, pure: it tells that it is ready, hears what it is to do, and begins only what it may.

It says and hears everything by the one seam `propose`; each answer is dated by when it was asked for, on its own
monotonic clock. A begin counts only if its yes came within `bound` of asking, less what the clock may drift: so a halt
that the keepers took stops it after the bound, whether it is told, slow, stopped or cut off, and an answer that was
long on its way is worth nothing. Without keepers it freezes: what serves goes on serving, what is out may come back by
itself, and nothing begins.

What it gives back are effects: ("say", token, command), ("drain", fence, build) no new work from here on, ("come",
build) come back with that build, or with what there is if it is empty, ("serve",) take new work again at once.
"""

from .targets import DisruptionSettings

IN, BEGINNING, DRAINING, OUT, RETURNING, LEAVING = (
    "in",
    "beginning",
    "draining",
    "out",
    "returning",
    "leaving",
)
# (state, input) -> next state, effect. What is missing changes nothing.
TURN = {
    (IN, "begin"): (BEGINNING, "begin"),
    (BEGINNING, "yes"): (DRAINING, "drain"),
    (BEGINNING, "no"): (IN, "drop"),
    (BEGINNING, "late"): (IN, "give"),
    (BEGINNING, "return"): (IN, "give"),
    (BEGINNING, "done"): (IN, "give"),
    (DRAINING, "emptied"): (OUT, "tell"),
    (DRAINING, "return"): (IN, "serve"),
    (DRAINING, "done"): (IN, "serve"),
    (OUT, "return"): (RETURNING, "come"),
    (OUT, "done"): (RETURNING, "come"),
    (OUT, "drain"): (OUT, "tell"),  # the keepers did not hear that it is empty
    (IN, "drain"): (IN, "give"),
    (IN, "stay"): (IN, "give"),  # nor that it gave up, or is home
    (RETURNING, "drain"): (RETURNING, "give"),
    (RETURNING, "stay"): (RETURNING, "give"),
    (RETURNING, "ready"): (IN, "home"),
    (RETURNING, "failed"): (RETURNING, "fail"),
    # A build that never gets warm goes without having served.
    (RETURNING, "begin"): (LEAVING, "begin"),
    (LEAVING, "yes"): (OUT, "leave"),
    (LEAVING, "no"): (RETURNING, "drop"),
    (LEAVING, "late"): (RETURNING, "give"),
    (LEAVING, "return"): (RETURNING, "give"),
    (LEAVING, "ready"): (IN, "home"),
    (LEAVING, "failed"): (RETURNING, "fail"),
}
STATUS = {
    IN: "ready",
    BEGINNING: "ready",
    DRAINING: "out",
    OUT: "out",
    RETURNING: "cold",
    LEAVING: "cold",
}
WAITING_MOST = 64  # questions without an answer that are remembered
EPOCHS_MOST = 64


class DisruptionAgent:
    def __init__(self, unit, start, build, terms=None, now=0, ready=True):
        """start: a number that grows with each start of the process; `now` its monotonic clock."""
        self.unit, self.start, self.build, self.terms = (
            unit,
            start,
            build,
            terms or DisruptionSettings(),
        )
        self.state, self.fault = IN if ready else RETURNING, None
        self.heard_at, self.fresh = (
            0,
            None,
        )  # agreed time heard last; when the newest answer was asked for
        self.token, self.waiting = 0, {}  # token: (when it was said, what)
        self.beat_at, self.fence, self.until, self.epoch, self.target = now, 0, 0, 0, ""
        self.spent, self.epochs = 0, {}  # fencing numbers up to this one are worth nothing here
        self.effects = []

    def bound(self):
        """The bound on its own clock, less what that may be wrong by."""
        return self.terms.bound - self.terms.bound * self.terms.drift // 1000

    def frozen(self, now):
        """Whether it was told nothing for its bound: it begins nothing."""
        return self.fresh is None or now - self.fresh > self.bound()

    # What happens to it; each gives the effects.

    def due(self, now):
        """Time goes on. To be called at least every quarter of the bound."""
        if self.state in (BEGINNING, LEAVING) and now > self.until:
            self._step("late", now)
        if now >= self.beat_at:
            self.beat_at = now + self.terms.bound // 4
            if self.state in (BEGINNING, LEAVING):
                self._ask_begin(now)  # the answer may be lost; the machine takes it twice
            if self.state == RETURNING and self.fault:
                self._give(now)  # until somebody comes: nobody else can tell why
            else:
                self._see(now)
        return self._taken()

    def told(self, now, token, reply):
        """An answer came. Unknown, repeated and foreign ones say nothing."""
        said = self.waiting.pop(token, None)
        if said is None or not isinstance(reply, dict):
            return self._taken()
        at, do, fence = said
        self.heard_at = max(self.heard_at, reply.get("at", 0))
        if self.fresh is None or at > self.fresh:
            self.fresh = at
        late = now - at > self.bound()
        if do == "begin":
            if self.state in (BEGINNING, LEAVING) and fence == self.fence:
                # An order may have been told, held by a stop of this process, and be over: the clock decides.
                late = late or now > self.until
                self._step("late" if late else "yes" if reply.get("ok") else "no", now)
        elif reply.get("ok"):
            order = reply.get("orders", {}).get(self.unit) or reply.get("order")
            if order:
                self._ordered(order, at, late, now)
        return self._taken()

    def emptied(self, now):
        """The last transaction that it had taken has its answer."""
        self._step("emptied", now)
        return self._taken()

    def done(self, now, build=""):
        """What it went out for is done, or given up: it comes back, with or without keepers."""
        self.target = build
        self._step("done", now)
        return self._taken()

    def ready(self, now, build):
        """It serves again, warm."""
        self.build = build
        self._step("ready", now)
        return self._taken()

    def failed(self, now, why):
        """It can't come back, in a sentence."""
        self.fault = why
        self._step("failed", now)
        return self._taken()

    # Its parts.

    def _taken(self):
        effects, self.effects = self.effects, []
        return effects

    def _say(self, now, command, fence=0):
        self.token += 1
        if len(self.waiting) >= WAITING_MOST:
            del self.waiting[next(iter(self.waiting))]
        self.waiting[self.token] = now, command["do"], fence
        self.effects.append(("say", self.token, {"part": "turns", **command}))

    def _see(self, now):
        self._say(
            now,
            {
                "do": "seen",
                "as_of": self.heard_at,
                "units": {self.unit: [STATUS[self.state], self.start, self.build]},
            },
        )

    def _ordered(self, order, at, late, now):
        """An order of the keepers, asked for `at`. Where a drain begins its epoch and fencing number are checked."""
        do, fence, plan, epoch = order["do"], order["fence"], order["plan"], order["epoch"]
        if do == "begin":
            if (
                self.state not in (IN, RETURNING)
                or late
                or fence <= self.spent
                or epoch < self.epochs.get(plan, 0)
            ):
                return
            self.epochs.pop(plan, None)
            if len(self.epochs) >= EPOCHS_MOST:
                del self.epochs[next(iter(self.epochs))]
            self.epochs[plan] = epoch
            self.fence, self.epoch, self.target = fence, epoch, order["build"]
            # The permit's rest counts from when it was asked for: the answer is not older than that.
            self.until = at + min(
                order["left"] - order["left"] * self.terms.drift // 1000, 2 * self.bound()
            )
            self._step("begin", now)
        elif fence == self.fence or fence > self.fence and self.state in (IN, RETURNING):
            self.fence = fence
            if do == "return":
                self.target = order["build"]
            self._step(do, now)

    def _step(self, what, now):
        state, effect = TURN.get((self.state, what), (self.state, None))
        if effect is None:
            return
        self.state = state
        getattr(self, "_" + effect)(now)

    def _ask_begin(self, now):
        self._say(
            now,
            {
                "do": "begin",
                "unit": self.unit,
                "fence": self.fence,
                "epoch": self.epoch,
                "start": self.start,
            },
            self.fence,
        )

    _begin = _ask_begin

    def _drain(self, now):
        self.spent = self.fence
        self.effects.append(("drain", self.fence, self.target))
        self._see(now)

    def _leave(self, now):
        self.spent = self.fence
        self.effects.append(("drain", self.fence, self.target))
        self._tell(now)

    def _drop(self, now):
        self.spent = self.fence

    def _give(self, now):
        """It did not begin, or is on its way home: the keepers have to know, since they may think that it is out."""
        self.spent = max(self.spent, self.fence)
        self._say(
            now,
            {
                "do": "return",
                "unit": self.unit,
                "fence": self.fence,
                **({"fault": self.fault} if self.fault else {}),
            },
        )
        self._see(now)

    def _tell(self, now):
        self._say(now, {"do": "out", "unit": self.unit, "fence": self.fence})

    def _serve(self, now):
        self.effects.append(("serve",))
        self._give(now)

    def _come(self, now):
        self.effects.append(("come", self.target))
        self.fault = None
        self._give(now)

    def _home(self, now):
        self.effects.append(("serve",))
        self._see(now)

    def _fail(self, now):
        self._give(now)
