"""Connections to pods, by pod: idle ones, the latest used first, and deliveries that wait for one."""

from collections import deque

from ..protocol.pod import PodConnector
from ..protocol.write_progress import NOT_CONNECTED, BrokenConnection
from .slot_table import SlotTable

IDLE_PART = 0.8  # of the told idle time: then a connection is retired, before the pod does it
LATE = 5_000  # what was given up is read from for so long: an answer may be on its way
AGAIN = 10_000  # a connection is looked at no more often than that
REST = 100  # after an answer: a second one may come some milliseconds late, and answers carry no id


class ConnectionPool:
    """What this sidecar holds to one pod at one address."""

    def __init__(self, pod, address):
        self.pod, self.address = pod, address
        self.idle, self.waiting, self.dialling, self.due = [], deque(), 0, None


class ConnectionPools:
    """Carries deliveries to pods, one at a time on a connection. A delivery is asked to write_to(connection)
    when it has one, if it still may_be_written(address), else to withdraw(), and told not_connected(broken) when none
    comes up for it."""

    def __init__(self, reactor, timers, connection_limits, most, fault):
        self.reactor, self.timers, self.connection_limits = reactor, timers, connection_limits
        self.most, self.fault = most, fault
        self.by_pod, self.connections, self.dialling = {}, SlotTable(), 0

    def __len__(self):
        return len(self.connections) + self.dialling

    def send(self, pod, address, delivery):
        """Takes the latest used idle connection that has rested, or dials. False where that would be one too many."""
        pool = self.by_pod.get(pod)
        if pool is None:
            pool = self.by_pod[pod] = ConnectionPool(pod, address)
        connection = None if pool.waiting else self._rested(pool)
        if connection:
            self._write(delivery, connection)
            return True
        if len(self) >= self.most and not self._retire_eldest():
            return False
        pool.waiting.append(delivery)
        self._dial(pool)
        self._serve(pool)
        return True

    def _rested(self, pool):
        """Takes the latest used idle connection on which nothing came while it rested; None where there is none."""
        now = self.timers.clock()
        for connection in pool.idle[::-1]:
            if now < connection.rests_until:
                continue
            if now >= self._retired_at(connection):  # where that is soon, before it was looked at
                self._close([connection])
            elif connection.clean():
                pool.idle.remove(connection)
                return connection
            else:
                connection.drop("more came than was asked for, or the end")
        return None

    def _retired_at(self, connection):
        """One that has just come up is there for what it was dialled for, however short the idle time."""
        return connection.used_at + max(REST, int(IDLE_PART * self.connection_limits.idle_timeout))

    def _serve(self, pool):
        """The delivery that has waited longest is next, as soon as a connection has rested or come up."""
        while pool.waiting:
            if not pool.waiting[0].may_be_written(pool.address):
                pool.waiting.popleft().withdraw()
            elif connection := self._rested(pool):
                self._write(pool.waiting.popleft(), connection)
            else:
                break
        self.timers.cancel(pool.due)
        if pool.waiting and pool.idle:
            pool.due = self.timers.add(
                min(connection.rests_until for connection in pool.idle), self._serve, pool
            )

    def _write(self, delivery, connection):
        connection.delivery = delivery
        delivery.write_to(connection)

    def _dial(self, pool):
        pool.dialling += 1
        self.dialling += 1
        connector = PodConnector(self, pool)
        connector.failed.addCallback(self._not_connected, connector)
        host, _, port = pool.address.rpartition(":")
        dialled = self.reactor.connectTCP(host, int(port), connector, timeout=None)
        connector.deadline = self.timers.add(
            self.timers.clock() + self.connection_limits.connect_timeout, dialled.stopConnecting
        )

    def _dialled(self, connector):
        self.timers.cancel(connector.deadline)
        connector.pool.dialling -= 1
        self.dialling -= 1

    def _not_connected(self, broken, connector):
        self._dialled(connector)
        self._fall_short(connector.pool, broken)

    def _fall_short(self, pool, broken):
        if (
            len(pool.waiting) > pool.dialling
        ):  # else the one that it was dialled for has gone on another
            pool.waiting.popleft().not_connected(broken)

    def made(self, connection):
        """A connection has come up."""
        self._dialled(connection.connector)
        connection.slot, connection.used_at = (
            self.connections.add(connection),
            self.timers.clock(),
        )
        if connection.is_to_itself():
            connection.drop("a dial that has reached itself")
        else:
            self._stand(connection, 0)
            self._look(connection)
        # A pod that is full, or ending, may say so before anything is asked: such a connection carries nothing.
        self._fall_short(
            connection.connector.pool,
            BrokenConnection(NOT_CONNECTED, "nothing to carry an attempt came up"),
        )

    def ready(self, connection):
        """What it carried has been answered: it rests before it is used again, and what comes meanwhile ends it."""
        self._stand(connection, REST)

    def _stand(self, connection, rest):
        """A connection stands idle, for what waits or is to come."""
        connection.used_at, pool, connection.delivery = (
            self.timers.clock(),
            connection.connector.pool,
            None,
        )
        connection.rests_until = connection.used_at + rest
        if self.by_pod.get(pool.pod) is not pool:
            return connection.drop("its pod has gone or moved")
        pool.idle.append(connection)
        return self._serve(pool)

    def ending(self, connection):
        """It ends: no delivery goes on it any more."""
        if connection in connection.connector.pool.idle:
            connection.connector.pool.idle.remove(connection)

    def lost(self, connection):
        self.ending(connection)
        self.connections.remove(connection.slot)
        for deadline in connection.timers:
            self.timers.cancel(deadline)

    def _look(self, connection):
        if self.connections.get(connection.slot) is not connection:
            return
        now, due = self.timers.clock(), self._retired_at(connection)
        if connection.waiting is None and now >= due:
            self._close([connection])
        else:
            connection.timers[:1] = [self.timers.add(max(due, now + AGAIN), self._look, connection)]

    def give_up(self, delivery, connection):
        """Ends a delivery at once, whether it waits or is out on a connection."""
        if connection is not None:
            connection.give_up()
            connection.timers.append(
                self.timers.add(self.timers.clock() + LATE, connection.drop, "given up")
            )
            return
        for pool in self.by_pod.values():
            if delivery in pool.waiting:
                pool.waiting.remove(delivery)

    def unwritten(self):
        """The deliveries that are decided, but wait for a connection or are not written whole, and the address that
        each is meant for: none has run."""
        return [
            (delivery, pool.address) for pool in self.by_pod.values() for delivery in pool.waiting
        ] + [
            (connection.delivery, connection.connector.pool.address)
            for connection in self.connections
            if connection.waiting is not None and not connection.written
        ]

    def retire(self, pod):
        """Closes the idle connections to a pod."""
        if pod in self.by_pod:
            self._close(list(self.by_pod[pod].idle))

    def keep_only(self, addresses):
        """Lets go of what is held to other pods than these, or elsewhere; what is out on a connection there may end.
        Nothing waits for one that is let go: it was withdrawn."""
        for pod in [pod for pod, pool in self.by_pod.items() if addresses.get(pod) != pool.address]:
            self.retire(pod)
            del self.by_pod[pod]

    def _close(self, connections):
        for connection in connections:
            self.ending(connection)
            connection.transport.loseConnection()

    def _retire_eldest(self):
        idle = [pool.idle[0] for pool in self.by_pod.values() if pool.idle]
        self._close(sorted(idle, key=lambda connection: connection.used_at)[:1])
        return bool(idle)
