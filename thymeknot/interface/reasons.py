"""Why something was decided: a closed table of numbers that the decisions name as they decide. Operands come in the
order given here, as numbers but for pods and outcomes; times are tenths of a millisecond. Sentences: why/sentences.py.
"""

from enum import IntEnum


class Reason(IntEnum):
    """Numbers are kept for ever: records on disk hold them."""

    POSITION = 1  # on which side of the ramp: position, ramp, cap
    STAYS = 2  # the key was answered by the newest build: keys that stay so
    ASTRAY = 3  # off the trial: deliveries before, whether the key failed there, whether it is hot
    GUARDED = 4  # the trial's stage is for retriable lanes alone: stage, guarded stages
    EXPOSURE = 5  # the trial's allowance is used up: deliveries there, taken, cap, allowance
    CLOSED = 6  # the trial takes nothing now: phase, cap
    SENT = 7  # delivery: pod, its build, whether the newest, time-out, the pod's cost
    UNREACHABLE = 8  # pods passed over until they are asked again: how many
    DOUBTED = 9  # pods passed over by hearsay: how many
    USED = 10  # pods passed over as this transaction was there already: how many
    COLD = 11  # cold pods whose room is used up: how many
    OUTSIDE = 12  # pods that would not drop a repeat: how many
    NO_POD = 13  # nothing will do: ready pods, whether of the newest build
    OVER_LIMIT = 14  # more open than answers come for: open, limit
    BY_LOT = 15  # a quiet instance with slow answers: pressure, chance
    NO_NEWS = 16  # nothing was told of builds yet
    MOST_DELIVERIES = 17  # deliveries made, most
    TIME_OVER = 18  # no time left: left, the lane's mean
    NO_BUDGET = 19  # too many repeated lately: retries left
    MAY_HAVE_RUN = 20  # repeating could run it twice: the pod where it may have run, for how long
    ENDED = 21  # a delivery's end: pod, number, outcome, latency, whether proved not run
    DEFERRED = 22  # the final answer: wait
    ABANDONED = 23  # the final answer: the pod where it may have run
    DONE = 24  # the final answer: latency
    LEFT = 25  # the client went away
    VOTED = 26  # build, stage, verdict, doubt, seen
    SECOND_COPY = 27  # sent beside a slow one: wait
