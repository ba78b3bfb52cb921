"""The incarnation: a number of this start that is greater than those of all earlier starts."""

import os
import time

INCARNATION_FILE = "start"
"""Name of the file in the data folder that holds the last incarnation."""

MAX_DIGITS = 20
"""Maximum number of characters read from the file: the digits of any 64-bit number."""

NANOSECONDS_PER_MILLISECOND = 1_000_000


def next_incarnation(folder: str) -> int:
    """Returns the incarnation of this start, after writing it to the disk.

    It is greater than the last one and at least the Unix time in milliseconds, so that it also
    grows if the file was lost.

    Args:
        folder: The data folder; it is created if it is missing.

    Raises:
        OSError: The folder or the file can't be used.
    """
    path = os.path.join(folder, INCARNATION_FILE)
    last_incarnation = 0
    os.makedirs(folder, exist_ok=True)
    try:
        with open(path, encoding="ascii") as source:
            last_incarnation = int(source.read(MAX_DIGITS))
    except (FileNotFoundError, ValueError):
        pass  # first start or damaged file: the calendar time takes the place of the last number
    incarnation = max(last_incarnation + 1, time.time_ns() // NANOSECONDS_PER_MILLISECOND)
    with open(path + ".part", "w", encoding="ascii") as target:
        target.write(str(incarnation))
        target.flush()
        os.fsync(target.fileno())
    os.replace(path + ".part", path)
    return incarnation
