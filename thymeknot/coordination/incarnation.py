"""The incarnation: a number of this start, greater than those of all earlier starts."""

import os
import time

INCARNATION_FILE = "start"
"""The file in the data folder that keeps the number of the last start."""

MAX_DIGITS = 20
"""Characters that are read of the file: the digits of any 64-bit number."""

NANOSECONDS_PER_MILLISECOND = 1_000_000


def next_incarnation(folder: str) -> int:
    """Numbers this start, and writes the number to the disk before it is used.

    It is greater than the last number, and at least the calendar's milliseconds, so that it also
    grows where the file was lost.

    Args:
        folder: The data folder; it is made if it is missing.

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
        pass  # a first start, or a damaged file: the calendar stands in for the last number
    incarnation = max(last_incarnation + 1, time.time_ns() // NANOSECONDS_PER_MILLISECOND)
    with open(path + ".part", "w", encoding="ascii") as target:
        target.write(str(incarnation))
        target.flush()
        os.fsync(target.fileno())
    os.replace(path + ".part", path)
    return incarnation
