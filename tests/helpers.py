"""The state that tests build on."""

from thymeknot import interface as i
from thymeknot.balance import Balancer, SECOND

NOW = 1000 * SECOND
LANES = {
    "read": i.Lane("read", i.RETRIABLE, i.GROUP_ALL, 5 * SECOND, SECOND, 4 * SECOND, 1.0, 0.0),
    "mark": i.Lane("mark", i.FINGERPRINTED, i.GROUP_ALL, 2 * SECOND, SECOND, 4 * SECOND, 5.0, 0.0),
    "zoned": i.Lane("zoned", i.FINGERPRINTED, i.GROUP_ZONE, 2 * SECOND, SECOND, 4 * SECOND, 5.0, 0.0),
    "pay": i.Lane("pay", i.BINDING, i.GROUP_ALL, 5 * SECOND, SECOND, 4 * SECOND, 5.0, 0.0),
}
TERMS = i.Terms(
    lanes=LANES, balancers=2, subscribes=False, max_deliveries=4, max_retry_after=SECOND, second_copies=True,
    may_recall=True, retry_after=True, reports=(), ask_within=10 * SECOND, cold_from=0.25, cold=4 * SECOND,
    fall_multiple=2.0, overload_for=SECOND, exposure_window=2 * SECOND, allowance=2.0,
    guarded_stages=1, waves=(0.1, 0.5, 0.5, 1.0, 1.0),
    by_lane=False, keys_stay=True, replaces=False,
    decided_by=i.BY_COUNT, votes_to_revert=1, vote_life=4 * SECOND, vote_wait=SECOND, votes_per_s=100.0)


def pod(address, build=1, started=0, condition=i.READY, zone="a"):
    return i.Pod(address, zone, 1.0, 0, condition, started, "std", build)


def news(stage=1, phase=i.ON_TRIAL, cap=0.5, build=2):
    return i.News(build, stage, phase, False, i.DONE, cap, 0)


def balancer(*pods, told=None, **changes):
    """An instance that knows these pods (two of the earlier build, one of the new) and this news."""
    made = Balancer(TERMS._replace(**changes), 7, NOW - 10 * SECOND)
    pods = pods or (pod("old-1"), pod("old-2"), pod("new-1", 2))
    made.handle(NOW - 10 * SECOND, [i.PodList(i.REMEMBERED, pods), news(4, i.RELEASED, 1.0, 1)])
    if told:
        made.handle(NOW - 10 * SECOND, [told])
    made.actions, made.now, made.born = [], NOW, NOW - 10 * SECOND
    return made


def taken(name="t1", lane="read", key=None, left=3 * SECOND):
    return i.Taken(name, lane, None, key, left, None, False, False)


def ended(name="t1", outcome=i.ERROR, address="old-1", number=0, closed=False, latency=100):
    return i.Ended(name, outcome, closed, latency, address, number, None)


def kinds(actions):
    return [type(action) for action in actions]


def sent(actions):
    return [action.pod for action in actions if isinstance(action, i.Deliver)]
