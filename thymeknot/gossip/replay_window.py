"""Which numbers of a sender were seen: a sliding window of bits, so that nothing is taken twice."""


class ReplayWindow:
    """Numbers within `size` of the highest one; what is older counts as seen."""

    __slots__ = ("size", "highest", "bits")

    def __init__(self, size):
        self.size, self.highest, self.bits = size, -1, 0

    def seen(self, number):
        behind = self.highest - number
        return behind >= 0 and (behind >= self.size or bool(self.bits >> behind & 1))

    def mark(self, number):
        behind = self.highest - number
        if behind >= 0:
            if behind < self.size:
                self.bits |= 1 << behind
            return
        self.bits = (self.bits << -behind | 1) & (1 << self.size) - 1 if -behind < self.size else 1
        self.highest = number
