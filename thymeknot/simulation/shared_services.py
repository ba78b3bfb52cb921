"""What a fleet shares beside its pods, emulated: a discovery that answers so many calls a second, and the connections
that pods hold. Pure; times are tenths of a millisecond."""

from collections import deque

from ..polling.adaptive_interval import AdaptiveInterval, CallResult

PATIENCE, ROOM = 20_000, 2.2  # a call waits in turn so long; waiting calls, in seconds of answers
NO_ROOM = 500  # until one is told that there is none
IDLE = 150_000  # a connection that stands idle is closed


class EarlierPace:
    """As lists were asked for up to 9db9198: each again in a moment, and a second call beside it."""

    beside = True

    def __init__(self, draw):
        self.draw = draw

    def first(self, asking):
        return 0

    def ended(self, how, age=0):
        return 2_000 + int(self.draw() * 6_000)


class Service:
    """Answers so many calls a second, in turn. One that finds no room, or has waited too long (which costs as much as
    an answer), is turned away. at(moment, call, *arguments) books what comes, now() is the time."""

    def __init__(self, rate, at, now):
        self.step, self.room, self.at, self.now = int(10_000 / rate), int(rate * ROOM), at, now
        self.waiting, self.calls, self.refused = deque(), 0, 0
        self.at(self.now() + self.step, self._next)

    def call(self, end):
        """end(good) is called once: whether it was answered."""
        self.calls += 1
        if len(self.waiting) >= self.room:
            self.refused += 1
            self.at(self.now() + NO_ROOM, end, False)
        else:
            self.waiting.append((self.now(), end))

    def _next(self):
        self.at(self.now() + self.step, self._next)
        if self.waiting:
            since, end = self.waiting.popleft()
            good = self.now() <= since + PATIENCE
            self.refused += not good
            end(good)


class Discovery(Service):
    """Lists that are asked for. told(instance, turn, whole): whether this life of an instance is there still; gives it
    the list where whole."""

    def __init__(self, rate, at, now, told):
        super().__init__(rate, at, now)
        self.told, self.standing = told, {}

    def begin(self, instance, turn, pace, asking):
        """An instance starts: it asks for the list and the changes to it."""
        self.standing.pop(instance, None)
        self.at(self.now() + pace.first(asking), self._ask, instance, turn, pace, True)
        if getattr(pace, "beside", False):
            self.at(self.now(), self._ask, instance, turn, pace, False)

    def _ask(self, instance, turn, pace, watch):
        def ended(good):
            if good and watch:
                self.standing[instance] = turn
            if good:
                self.told(instance, turn, True)
            elif watch or self.standing.get(instance) != turn:
                wait = (
                    pace.ended(CallResult.REFUSED) if watch else 10_000 + int(pace.draw() * 10_000)
                )
                self.at(self.now() + wait, self._ask, instance, turn, pace, watch)

        if self.told(instance, turn, False):  # else it has died since
            self.call(ended)


class Connections:
    """Those of all instances to all pods. A pod holds so many at most, if any number is told."""

    def __init__(self, most):
        self.most, self.idle, self.held, self.made, self.refused = most, {}, {}, 0, 0

    def take(self, now, line, pod):
        """Whether a delivery on this line gets one: an idle one, or a new one where the pod has room."""
        idle = self.idle.setdefault(line, [])
        while idle:
            if now <= idle.pop() + IDLE:
                return True
            self.held[pod] -= 1
        if self.most and self.held.get(pod, 0) >= self.most and not self._expired(now, pod):
            self.refused += 1
            return False
        self.held[pod], self.made = self.held.get(pod, 0) + 1, self.made + 1
        return True

    def _expired(self, now, pod):
        """Drops what has stood idle for too long at this pod; whether that made room."""
        before = self.held[pod]
        for (_, _, of), idle in self.idle.items():
            if of == pod:
                self.held[pod] -= sum(now > at + IDLE for at in idle)
                idle[:] = [at for at in idle if now <= at + IDLE]
        return self.held[pod] < before

    def give(self, now, line, pod, good):
        """A delivery has ended: its connection stands idle, or is closed."""
        if good and line in self.idle:
            self.idle[line].append(now)
        else:
            self.held[pod] -= 1

    def drop(self, gone):
        """The instances or pods that this names have gone, with all that they held."""
        for line in [line for line in self.idle if gone(line)]:
            self.held[line[2]] -= len(self.idle.pop(line))


def pace_of(policy, draw):
    """The pace at which instances of this policy ask: the policy's own, or today's."""
    return getattr(policy, "pace", AdaptiveInterval)(draw)
