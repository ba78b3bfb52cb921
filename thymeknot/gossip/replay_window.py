"""Which numbers of a sender were seen: a sliding window of bits, so that nothing is taken twice.

The anti-replay window of IPsec (RFC 4303, section 3.4.3).
"""


class ReplayWindow:
    """Numbers within `size` of the highest one; what is older counts as seen.

    Attributes:
        size: Numbers that the window covers.
        highest: The highest number that was marked, -1 for none.
        bits: Bit n says whether the number `highest - n` was marked.
    """

    __slots__ = ("bits", "highest", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self.highest = -1
        self.bits = 0

    def seen(self, number: int) -> bool:
        """Returns whether a number was marked or is too old to tell."""
        behind = self.highest - number
        return behind >= 0 and (behind >= self.size or bool(self.bits >> behind & 1))

    def mark(self, number: int) -> None:
        """Marks a number as seen."""
        behind = self.highest - number
        if behind >= 0:
            if behind < self.size:
                self.bits |= 1 << behind
            return
        ahead = -behind
        mask = (1 << self.size) - 1
        self.bits = (self.bits << ahead | 1) & mask if ahead < self.size else 1
        self.highest = number
