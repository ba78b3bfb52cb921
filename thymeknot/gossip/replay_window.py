"""Anti-replay window: a sliding bit mask of the sequence numbers that were received.

Follows the anti-replay window of IPsec (RFC 4303, section 3.4.3).
"""


class ReplayWindow:
    """Records sequence numbers; numbers older than the window count as seen.

    Attributes:
        size: Number of sequence numbers that the window covers.
        highest: Highest number marked so far, or -1.
        bits: Bit n is set if the number `highest - n` was marked.
    """

    __slots__ = ("bits", "highest", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self.highest = -1
        self.bits = 0

    def seen(self, number: int) -> bool:
        """Returns whether a number was marked or is older than the window."""
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
