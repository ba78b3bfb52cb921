"""What an instance remembers: counts over time, transactions, deliveries, pods. Records only, no values."""


class Ring:
    """Counts over the last span of time, in buckets that are used again."""

    def __init__(self, span, buckets):
        self.span, self.width, self.size = span, max(1, -(-span // buckets)), buckets + 1
        self.counts, self.last = [0] * self.size, 0

    def _turn(self, now):
        bucket = now // self.width
        for step in range(max(self.last + 1, bucket - self.size + 1), bucket + 1):
            self.counts[step % self.size] = 0
        self.last = max(self.last, bucket)

    def add(self, now, amount=1):
        self._turn(now)
        self.counts[self.last % self.size] += amount

    def total(self, now, full_only=False, back=None):
        """The last `back` buckets' sum (all if None), with the partly covered oldest one or without it."""
        self._turn(now)
        back = self.size if back is None else back + 1
        return sum(self.counts[(self.last - step) % self.size] for step in range(back - full_only))


class Transaction:
    def __init__(self, taken, lane, now, state):
        self.id, self.lane, self.key, self.state = taken.id, lane, taken.key or taken.id, state
        self.ends, self.goal, self.streams = now + taken.left, now + lane.latency_goal, False
        self.sent = []              # the deliveries in their order

    def out(self):
        return sum(delivery.out for delivery in self.sent)

    def suspect(self):
        """The first delivery that is not proved unrun: rule 2 counts from it."""
        return next((delivery for delivery in self.sent if delivery.perhaps), None)


class Delivery:
    def __init__(self, known, now):
        self.known, self.pod, self.at, self.out, self.perhaps = known, known.listed, now, True, True


class Known:
    """A pod as this instance knows it."""

    def __init__(self, listed, span):
        self.listed, self.out, self.pace, self.fails = listed, 0, 1.0, 0.0
        self.load, self.shunned, self.shun, self.sent, self.heard = 0.0, 0, 0, Ring(span, 15), 0
        self.lot = -1, 0.0          # span, and what chance adds to this instance's part in it
        self.side = None            # True: of the newest build; False: of an earlier one
