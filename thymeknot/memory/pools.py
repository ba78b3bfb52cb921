"""Connections to pods: idle ones, the latest used first, and deliveries that wait for one."""

from collections import deque


class Pool:
    """What this sidecar holds to one pod."""

    def __init__(self, pod, host, port):
        self.pod, self.host, self.port = pod, host, port
        self.idle, self.waiting, self.connecting, self.open = [], deque(), 0, 0


class Pools:
    """The pools by pod, and how many connections there are in all."""

    def __init__(self, most):
        self.most, self.by_pod, self.total = most, {}, 0

    def at(self, pod, address):
        """The pool of a pod at this address; where it has moved, a new one and what the old one held idle."""
        host, _, port = address.rpartition(":")
        pool = self.by_pod.get(pod)
        if pool is None or (pool.host, pool.port) != (host, int(port)):
            stale = pool.idle if pool else []
            pool = self.by_pod[pod] = Pool(pod, host, int(port))
            return pool, stale
        return pool, []

    def room(self):
        return self.total < self.most

    def eldest(self):
        """The idle connection that was used longest ago, over all pods."""
        return min((pool.idle[0] for pool in self.by_pod.values() if pool.idle),
                   key=lambda connection: connection.used_at, default=None)

    def drop_gone(self, pods):
        """Lets go of the pools of pods that are not listed any more; gives the idle connections to close."""
        stale = []
        for pod in [pod for pod in self.by_pod if pod not in pods]:
            pool = self.by_pod[pod]
            stale += pool.idle
            if not pool.open and not pool.connecting and not pool.waiting:
                del self.by_pod[pod]
        return stale
