"""Between the network and the decisions: what comes in becomes events, actions become what goes out.

The only file that knows both sides. It decides nothing: where, when and whether are the Balancer's."""

from . import interface as i
from .balance import Balancer
from .memory.pools import Pools
from .memory.slots import Slots
from .protocol import discovery, http, platform, resp
from .protocol.calls import Call, Connector, KeptStream, Reply
from .protocol.client import ClientConnection
from .protocol.pod import WRITTEN, Answer, Broken, PodConnector
from .records import Chance
from .service import logs

KEPT_FOR_OTHERS = 40        # descriptors: discovery, platform, the loop's own, standard streams
FOR_PODS = 0.5              # of the others: connections to pods; the rest is for clients
LATE = 5_000                # a delivery given up is listened to for so long: what is on its way still comes
IDLE_PART = 0.8             # of the told idle time: then a connection is retired, before the pod does it
OVERDUE = 50                # after its client's end a transaction without an answer gets one (5 ms)
BUSY = "BUSY"

WAITING, WRITING, ENDED = "waiting", "writing", "ended"


class Attempt:
    """A delivery on its way."""
    __slots__ = ("held", "number", "pod", "listed", "at", "ends", "state", "connection", "deadline")

    def __init__(self, held, number, pod, listed, at, ends):
        self.held, self.number, self.pod, self.listed, self.at, self.ends = held, number, pod, listed, at, ends
        self.state, self.connection, self.deadline = WAITING, None, None


class Held:
    """A transaction in hand: whose it is, where its answer belongs, its attempts."""
    __slots__ = ("id", "slot", "command", "connection", "place", "ends", "attempts", "out", "over", "deadline")

    def __init__(self, name, command, connection, place, ends):
        self.id, self.command, self.connection, self.place, self.ends = name, command, connection, place, ends
        self.slot, self.attempts, self.out, self.over, self.deadline = None, [], 0, False, None


class Sidecar:
    def __init__(self, start, reactor, deadlines, epoch):
        self.start, self.reactor, self.deadlines, self.epoch = start, reactor, deadlines, epoch
        self.clock, self.chance = deadlines.clock, Chance(start.seed ^ 0x5DEECE66D)
        self.terms, self.reach = start.terms, start.reach
        self.transactions, self.by_id, self.connections = Slots(), {}, Slots()
        spare = start.sockets - KEPT_FOR_OTHERS
        self.pools, self.most_clients = Pools(int(spare * FOR_PODS)), spare - int(spare * FOR_PODS)
        self.listed, self.addresses, self.version = {}, {}, start.known.version
        self.news, self.calls, self.inbox, self.deciding, self.paused = None, 0, [], False, None
        self.clients, self.stopping, self.emptied = {}, False, None
        self.balancer = Balancer(self.terms, start.seed, self.clock())

    def begin(self):
        """The first moment of the decisions: the list as last known, and the news."""
        host = "%s:%d"
        self.watch = KeptStream(self.reactor, self.deadlines, self.chance, self.start.discovery,
                                discovery.SILENCE,
                                lambda: discovery.watch(host % self.start.discovery, self.version),
                                self._watch_fresh, self._watch_heard, logs.log)
        self.stream = KeptStream(self.reactor, self.deadlines, self.chance, self.start.platform,
                                 platform.SILENCE, lambda: platform.stream(host % self.start.platform),
                                 self._stream_fresh, self._stream_heard, logs.log)
        self._listing(self.start.known)
        self.tell(self.start.news)
        self.watch.start()
        self.stream.start()

    # Events into the decisions, their actions out.

    def tell(self, *events):
        """Hands events to the decisions in their order, with those that their actions bring about."""
        self.inbox += events
        if self.deciding:
            return
        self.deciding = True
        try:
            while self.inbox:
                event = self.inbox.pop(0)
                if type(event) is i.News:
                    self._news(event)
                try:
                    actions = self.balancer.handle(self.clock(), [event])
                except Exception as error:
                    logs.fault("decisions", error)
                    actions = self.balancer.actions
                    self._carry_out(actions)
                    self._answer_after_fault(event)
                    continue
                self._carry_out(actions)
        finally:
            self.deciding = False

    def _carry_out(self, actions):
        for action in list(actions):
            try:
                self.ACTIONS[type(action)](self, action)
            except Exception as error:
                logs.fault(type(action).__name__, error)

    def _answer_after_fault(self, event):
        held = self._held(getattr(event, "id", None))
        if held and not held.over and not held.out:
            self._abandon(i.Abandon(held.id))
            self.inbox.append(i.ClientLeft(held.id))

    def fault(self, where, error):
        logs.fault(where, error)

    # Clients.

    def opened(self, connection):
        connection.slot, connection.used_at = self.connections.add(connection), self.clock()
        self.clients[connection] = True
        if len(self.clients) >= self.most_clients:
            self._make_room()

    def _make_room(self):
        """Between transactions a connection may be closed; else no more are accepted for now."""
        idle = [connection for connection in self.clients if connection.idle() and not connection.closing]
        if idle:
            return min(idle, key=lambda connection: connection.used_at).finish()
        if self.paused is None and self.port is not None:
            self.paused = self.port
            self.port.stopReading()
            logs.log("clients held off", connections=len(self.clients))

    def left(self, connection):
        self.connections.remove(connection.slot)
        self.clients.pop(connection, None)
        if self.paused is not None and len(self.clients) < self.most_clients:
            if not self.stopping:
                self.paused.startReading()
            self.paused = None
        for held in [held for held in self.transactions if held.connection is connection and connection.places]:
            if not held.over:
                held.over = True
                self.tell(i.ClientLeft(held.id))
            self._let_go(held)
        if self.stopping and not self.clients and self.emptied:
            self.emptied()

    def take(self, connection, place, command):
        name = command.id.decode()
        if command.lane not in self.terms.lanes:
            return connection.answer(place, resp.failure("ERR no such lane"))
        if name in self.by_id:
            return connection.answer(place, resp.failure("ERR this id is in hand already"))
        if len(self.transactions) >= self.reach.most_open:
            return connection.answer(place, resp.failure(BUSY))
        connection.used_at, left = self.clock(), command.left * 10
        held = Held(name, command, connection, place, self.clock() + left)
        held.slot = self.by_id[name] = self.transactions.add(held)
        held.deadline = self.deadlines.add(held.ends + OVERDUE, self._overdue, held)
        key = command.key.decode() or None
        self.tell(i.Taken(name, command.lane, command.tenant, key, left, None, command.repeat, False))

    def _held(self, name):
        slot = self.by_id.get(name)
        return None if slot is None else self.transactions.get(slot)

    def _overdue(self, held):
        """No answer by its client's end: the decisions have missed it, and one is still owed."""
        if not held.over:
            logs.log("overdue", id=held.id, out=held.out)
            self._final(held, resp.failure("ERR abandoned"))
            self.tell(i.ClientLeft(held.id))

    def _final(self, held, content):
        if held and not held.over:
            held.over = True
            held.connection.answer(held.place, content)
            self._let_go(held)

    def _let_go(self, held):
        if held.over and not held.out and self.by_id.get(held.id) == held.slot:
            del self.by_id[held.id]
            self.transactions.remove(held.slot)
            self.deadlines.cancel(held.deadline)

    def _defer(self, action):
        wait = -(-action.wait // 10)
        self._final(self._held(action.id), resp.failure(f"{BUSY} {wait}" if wait else BUSY))

    def _abandon(self, action):
        self._final(self._held(action.id), resp.failure("ERR abandoned"))

    # Deliveries.

    def _deliver(self, action):
        now, held = self.clock(), self._held(action.id)
        if held is None:
            return self.inbox.append(i.Ended(action.id, i.UNSENT, True, 0, action.pod, 0, None))
        attempt = Attempt(held, len(held.attempts), action.pod, self.listed.get(action.pod), now,
                          min(now + action.time_out, held.ends))
        held.attempts.append(attempt)
        held.out += 1
        if (held.over or attempt.listed is None or now >= attempt.ends
                or attempt.number >= self.terms.max_deliveries):
            return self._end(attempt, i.UNSENT)
        attempt.deadline = self.deadlines.add(attempt.ends, self._time_out, attempt)
        pool, stale = self.pools.at(action.pod, self.addresses[action.pod])
        self._retire(stale)
        if pool.idle:
            return self._write(attempt, pool.idle.pop())
        if not self.pools.room() and not self._retire_eldest():
            logs.log("no descriptor for a pod", open=self.pools.total)
            return self._end(attempt, i.UNSENT)
        pool.waiting.append(attempt)
        self._connect(pool)

    def _write(self, attempt, connection):
        attempt.state, attempt.connection = WRITING, connection
        left = max(1, (attempt.ends - self.clock()) // 10)
        connection.deliver(attempt.held.command.words(left)).addCallback(self._came_back, attempt)

    def _connect(self, pool):
        pool.connecting += 1
        self.pools.total += 1
        factory = PodConnector(self, pool)
        factory.failed.addCallback(self._not_connected, factory)
        connector = self.reactor.connectTCP(pool.host, pool.port, factory, timeout=None)
        factory.deadline = self.deadlines.add(self.clock() + self.reach.connect_within, connector.stopConnecting)

    def _not_connected(self, broken, factory):
        pool = factory.pool
        self.deadlines.cancel(factory.deadline)
        pool.connecting -= 1
        self.pools.total -= 1
        if len(pool.waiting) > pool.connecting:
            self._end(pool.waiting.popleft(), i.UNCONNECTED)
            self.tell()

    def ready(self, connection):
        """A connection is up, or its delivery is answered: the longest waiting delivery of its pod is next."""
        if connection.slot is None:
            connection.slot = self.connections.add(connection)
            self.deadlines.cancel(connection.connecting.deadline)
            connection.pool.connecting -= 1
            connection.pool.open += 1
            self._check_idle(connection)
        connection.used_at = self.clock()
        if connection.pool.waiting:
            self._write(connection.pool.waiting.popleft(), connection)
        elif self.pools.by_pod.get(connection.pool.pod) is connection.pool:
            connection.pool.idle.append(connection)
        else:
            connection.drop("its pod is gone")

    def _check_idle(self, connection):
        if self.connections.get(connection.slot) is not connection:
            return
        due = (connection.used_at or self.clock()) + int(IDLE_PART * self.reach.idle)
        if connection.waiting is None and self.clock() >= due:
            connection.transport.loseConnection()
            if connection in connection.pool.idle:
                connection.pool.idle.remove(connection)
        else:
            self.deadlines.add(max(due, self.clock() + 10_000), self._check_idle, connection)

    def lost(self, connection):
        if self.connections.get(connection.slot) is not connection:
            return
        self.connections.remove(connection.slot)
        self.pools.total -= 1
        connection.pool.open -= 1
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)

    def _retire(self, connections):
        for connection in list(connections):
            if connection in connection.pool.idle:
                connection.pool.idle.remove(connection)
            connection.transport.loseConnection()

    def _retire_eldest(self):
        eldest = self.pools.eldest()
        if eldest is not None:
            self._retire([eldest])
        return eldest is not None

    def _came_back(self, end, attempt):
        """A delivery's end from the network, as a value."""
        if attempt.state == ENDED:
            if isinstance(end, Answer) and end.failure is None:
                logs.log("late answer", id=attempt.held.id, pod=attempt.pod, after=self.clock() - attempt.at)
            return
        attempt.connection = None
        if isinstance(end, Broken):
            self._end(attempt, i.RESET if end.reached == WRITTEN else i.UNCONNECTED)
        elif end.failure is None:
            self._end(attempt, i.DONE, end)
        else:
            self._end(attempt, i.FULL if end.failure.split(" ")[0] == BUSY else i.ERROR)
        self.tell()

    def _time_out(self, attempt):
        if attempt.state != ENDED:
            written = attempt.state == WRITING and attempt.connection.written
            self._stop(attempt)
            self._end(attempt, i.EXPIRED if written else i.UNCONNECTED)
            self.tell()

    def _recall(self, action):
        held = self._held(action.id)
        attempt = held.attempts[action.number] if held and action.number < len(held.attempts) else None
        if attempt and attempt.state != ENDED:
            self._stop(attempt)
            self._end(attempt, i.RECALLED)

    def _stop(self, attempt):
        """Takes an attempt off the network, before anything else is sent for its transaction."""
        if attempt.connection is not None:
            attempt.connection.give_up()
            self.deadlines.add(self.clock() + LATE, attempt.connection.drop, "given up")
            attempt.connection = None
        else:
            waiting = self.pools.by_pod[attempt.pod].waiting
            if attempt in waiting:
                waiting.remove(attempt)

    def _end(self, attempt, outcome, answer=None):
        """The one end of an attempt. The first good answer goes to the client by itself."""
        held = attempt.held
        attempt.state = ENDED
        held.out -= 1
        if attempt.deadline is not None:
            self.deadlines.cancel(attempt.deadline)
        if outcome == i.DONE and not held.over:
            held.over = True
            held.connection.answer(held.place, resp.value(answer.value))
        load = self._load(answer.report) if answer and answer.report else None
        self.inbox.append(i.Ended(held.id, outcome, held.over, self.clock() - attempt.at, attempt.pod,
                                  attempt.number, load))
        self._let_go(held)

    def _load(self, report):
        """The values of a report of names and values, in the order in which the terms name them."""
        told = dict(pair.partition("=")[::2] for pair in report.decode("utf-8", "replace").replace(
            ",", " ").split())
        try:
            return tuple(float(told[name]) for name in self.terms.reports)
        except (KeyError, ValueError):
            return None

    # The list of pods.

    def _listing(self, listing):
        self.version = listing.version
        if listing.pods.kind != i.CHANGES:
            self.listed = {}
        for pod in listing.pods.pods:
            known, pool = self.listed.pop(pod.address, None), self.pools.by_pod.get(pod.address)
            if pod.condition != i.GONE:
                self.listed[pod.address] = pod
            # What stands open to an earlier process may be silent: it is another pod under the same id.
            if known and pool and (known.started, known.build) != (pod.started, pod.build):
                self._retire(pool.idle)
        self.addresses.update(listing.addresses)
        self.inbox.append(listing.pods)
        self._retire(self.pools.drop_gone(self.listed))
        self._withdraw(lambda attempt: not self._stands(attempt))
        self.tell()

    def _stands(self, attempt):
        pod = self.listed.get(attempt.pod)
        return pod is not None and pod.condition == i.READY and (
            (pod.started, pod.build) == (attempt.listed.started, attempt.listed.build))

    def _withdraw(self, fails):
        """Deliveries decided but still waiting for a connection must not be carried past what was told since."""
        for pool in list(self.pools.by_pod.values()):
            for attempt in [attempt for attempt in pool.waiting if fails(attempt)]:
                pool.waiting.remove(attempt)
                self._end(attempt, i.UNSENT)

    def _watch_fresh(self):
        self.lines = http.Lines()

    def _watch_heard(self, content):
        for line in self.lines.feed(content):
            if line.strip():
                try:
                    self._listing(discovery.read_json(line, self.epoch))
                except discovery.Unreadable as error:
                    logs.log("unreadable list", error=str(error))
                    return self.watch.restart("unreadable")

    def _subscribe(self, action):
        if action.on:  # the watch always stands; the answer that is due is the list
            self._fetch(action)

    def _fetch(self, action):
        self._call(self.start.discovery, discovery.fetch("%s:%d" % self.start.discovery), self.terms.vote_wait,
                   self._fetched)

    def _fetched(self, end):
        try:
            if not isinstance(end, Reply) or end.status != 200:
                raise discovery.Unreadable("no answer" if isinstance(end, Broken) else f"status {end.status}")
            self._listing(discovery.read_json(end.body, self.epoch))
        except discovery.Unreadable as error:
            logs.log("list not fetched", error=str(error))
            self.tell(i.PodList(i.MISSED, ()))

    # The platform.

    def _news(self, news):
        """Before the decisions hear it: a lower cap binds what still waits for a connection."""
        if news.outcome != i.DONE:
            return
        old, self.news = self.news, news
        if old and old.build == news.build and (news.cap < old.cap or news.phase != old.phase):
            self._withdraw(lambda attempt: attempt.listed.build >= news.build)

    def _stream_fresh(self):
        self.events = http.EventStream()

    def _stream_heard(self, content):
        for event, data in self.events.feed(content):
            try:
                told = platform.read_event(event, data)
            except platform.Unreadable as error:
                logs.log("unreadable event", told=event, error=str(error))
                continue
            if told is not None and not (type(told) is i.Tally and told.lane not in self.terms.lanes):
                self.tell(told)

    def _vote(self, action):
        def answered(end):
            news = platform.vote_news(action.build, end)
            logs.log("vote", build=action.build, stage=action.stage, verdict=action.verdict,
                     outcome=news.outcome)
            self.tell(news)
        if self.calls >= platform.MOST_CALLS:
            return self.inbox.append(i.News(action.build, None, None, True, i.FULL, None, None))
        self._call(self.start.platform, platform.vote("%s:%d" % self.start.platform, action),
                   self.terms.vote_wait, answered)

    def _call(self, address, request, within, answered):
        """One call on a connection of its own: one that stood idle may be closed under it."""
        self.calls += 1
        call, done = Call(), []

        def finish(end):
            if not done:
                done.append(end)
                self.calls -= 1
                self.deadlines.cancel(deadline)
                call.give_up("answered")
                answered(end)

        def late():
            if call.transport is None:
                connector.stopConnecting()
            else:
                call.give_up("no answer in time")

        made = call.connectionMade
        def connected():
            made()
            call.call(request).addCallback(finish)
        call.connectionMade = connected
        deadline = self.deadlines.add(self.clock() + within, late)
        connector = self.reactor.connectTCP(*address, Connector(call, finish), timeout=None)

    # The rest of the actions.

    def _timer(self, action):
        self.deadlines.add(action.at, self.tell, i.TimerDue(action.token))

    def _note(self, action):
        logs.log("note", text=action.text)

    def _close_idle(self, action):
        pool = self.pools.by_pod.get(action.pod)
        if pool:
            self._retire(pool.idle)

    def _not_spoken(self, action):
        logs.log("not spoken here", action=type(action).__name__)

    ACTIONS = {i.Deliver: _deliver, i.Recall: _recall, i.Defer: _defer, i.Abandon: _abandon, i.SetTimer: _timer,
               i.CloseIdle: _close_idle, i.Subscribe: _subscribe, i.FetchList: _fetch, i.Vote: _vote,
               i.Note: _note, i.Probe: _not_spoken, i.Tell: _not_spoken}

    # Start and stop.

    port = None

    def serve(self):
        from twisted.internet.protocol import Factory
        factory = Factory()
        factory.noisy, factory.buildProtocol = False, lambda address: ClientConnection(self)
        host, port = self.start.listen
        self.port = self.reactor.listenTCP(port, factory, backlog=512, interface=host)

    def finish(self, emptied):
        """Takes no more: closes each client's connection once it is owed nothing, then calls emptied."""
        self.stopping, self.emptied = True, emptied
        self.port.doRead()  # what the machine has accepted already is taken, too
        self.port.stopListening()
        for connection in list(self.clients):
            connection.finish()
        if not self.clients:
            emptied()
