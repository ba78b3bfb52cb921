"""Watches a fleet from outside: who serves, who stopped serving by itself and who by a crash, and what the keepers'
answers on the wire were. It shares nothing with the machine: budgets are plain sets of names and a number.
"""


class Outside:
    """groups: (name, names, how many of them may be out). notice: within that time of a crash nobody needs to know of
    it. bound: the stated one after which a halt, or the loss of all keepers, binds."""

    def __init__(self, groups, notice, bound):
        self.groups, self.notice, self.bound = groups, notice, bound
        self.away, self.down = {}, {}  # by name since when: by itself, by a crash
        self.answers, self.used = (
            {},
            {},
        )  # by name: (when, fence) said yes to; the highest that it went by
        self.halts, self.dark, self.breaches, self.goings = {}, None, [], []

    def breach(self, now, rule, said):
        self.breaches.append(f"{rule} at {now}: {said}")

    def answered(self, now, name, fence):
        """The keepers said yes to a begin."""
        self.answers.setdefault(name, {})[fence] = now

    def halted(self, number, now, names):
        self.halts[number] = now, names

    def lifted(self, number):
        self.halts.pop(number, None)

    def darkened(self, now):
        """All keepers are lost from now on; None: they are back."""
        self.dark = now

    def went(self, now, name, fence, back=False):
        """It takes no new work from now on, and did not crash. back: it goes for a way back that was ordered."""
        self.goings.append((now, name))
        self.away[name] = now
        for group, names, most in self.groups:
            out = {
                one
                for one in names
                if one in self.away or now - self.down.get(one, now) > self.notice
            }
            # One that crashed and did not serve since takes nothing away by going.
            if name in names and name not in self.down and len(out) > most:
                self.breach(
                    now,
                    "A1",
                    f"{name} went, {len(out)} of {group} are out and {most} may be: {sorted(out)}",
                )
        said = self.answers.get(name, {}).get(fence)
        if said is None or now - said > self.bound or fence <= self.used.get(name, 0):
            self.breach(
                now,
                "A2",
                f"{name} went by permit {fence}, which was confirmed {said} and used "
                f"{self.used.get(name)}",
            )
        self.used[name] = max(fence, self.used.get(name, 0))
        for number, (at, names) in self.halts.items():
            if name in names and not back and now - at > self.bound:
                self.breach(now, "A3", f"{name} went {now - at} after halt {number}")
        if self.dark is not None and now - self.dark > self.bound:
            self.breach(now, "A6", f"{name} went {now - self.dark} after the keepers were lost")

    def crashed(self, now, name):
        self.down.setdefault(name, now)
        self.away.pop(name, None)

    def serves(self, now, name):
        """It takes new work, warm."""
        self.away.pop(name, None)
        self.down.pop(name, None)
