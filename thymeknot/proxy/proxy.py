"""Between the network and the decisions: what comes in becomes events, actions become what goes out.

The only file that knows both sides. It decides nothing: where, when and whether are the Balancer's.
"""

from math import isfinite

from ..interface.actions import (
    CancelAttempt,
    CastVote,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    LogNote,
    ProbeEndpoint,
    Reject,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
    SubscribeToEndpoints,
)
from ..interface.enums import EndpointCondition, Idempotency, Outcome, ReleasePhase, UpdateKind
from ..interface.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointUpdate,
    LateResponseSeen,
    ReleaseUpdate,
    RequestReceived,
    TimerFired,
)
from ..policy.engine import PROOF, DecisionEngine
from ..polling.snapshot_validation import SnapshotValidator
from ..protocol import deployer, discovery, http, resp
from ..protocol.calls import MOST_REASON, HttpCaller, Reply, WatchStream
from ..protocol.write_progress import (
    has_left,
)
from ..service import structured_log
from ..service.rejection_summary import RejectionSummary
from ..state.connection_pool import ConnectionPools
from ..state.random_source import LinearCongruentialGenerator
from ..state.slot_table import SlotTable
from ..state.trial_exposure import TrialExposure
from .attempt import BUSY, Attempt
from .client_listener import ClientListener
from .descriptor_budget import descriptor_budget
from .graceful_shutdown import GracefulShutdown
from .in_flight import InFlightRequest

OVERDUE = 50  # so long after its client's end a transaction still without an answer gets one
ABANDONED = resp.failure("ERR abandoned")


class Proxy:
    def __init__(self, start, reactor, timers, epoch):
        self.start, self.reactor, self.timers, self.epoch = start, reactor, timers, epoch
        self.clock, self.settings, self.connection_limits = (
            timers.clock,
            start.settings,
            start.connection_limits,
        )
        budget = descriptor_budget(start.sockets)
        self.pools = ConnectionPools(
            reactor, timers, self.connection_limits, budget.endpoints, structured_log.fault
        )
        self.listener = ClientListener(
            reactor, timers, start.listen, start.sockets, budget.clients, self.take, self.gone
        )
        self.shutdown = GracefulShutdown(self.listener)
        self.transactions, self.by_id, self.perhaps = (
            SlotTable(),
            {},
            set(),
        )  # perhaps: ids that may have run, let go
        self.listed, self.addresses, self.version, self.told_by = {}, {}, start.known.version, None
        self.news, self.news_at, self.exposure = None, 0, TrialExposure(start.settings)
        self.inbox, self.deciding, self.belief = [], False, SnapshotValidator()
        self.gossip = self.why = self.fleet = (
            None  # hear of ends, lists and answers, where an operator's file has them
        )
        self.refusals = RejectionSummary(structured_log.log)
        self.engine = DecisionEngine(self.settings, start.seed, self.clock(), self.refusals.hear)
        chance = LinearCongruentialGenerator(~start.seed)
        self.discovery, self.platform = self._caller(start.discovery), self._caller(start.platform)
        self.watch = WatchStream(
            self.discovery,
            chance,
            discovery.SILENCE,
            lambda: discovery.watch(self.discovery.host, self._since()),
            self._watch_reader,
            structured_log.seldom,
            discovery.FIRST_WORD[self.settings.lists_polled],
            free=not self.settings.lists_polled,
        )  # the agent on the same machine
        self.stream = WatchStream(
            self.platform,
            chance,
            deployer.SILENCE,
            lambda: deployer.stream(self.platform.host),
            self._stream_reader,
            structured_log.seldom,
            deployer.FIRST_WORD,
        )

    def _caller(self, address):
        return HttpCaller(
            self.reactor, self.timers, address, self.connection_limits.connect_timeout
        )

    def reconfigure(self, start):
        """Takes up the addresses of a new configuration; calls that are out end at the former ones. What it knows
        of pods and builds is older than what the streams have told. Gives the keys that take a new start; `known` and
        `deployer.news` are not among them, since they only tell how things stood then."""
        if start.discovery != self.discovery.address:
            self.discovery = self._caller(start.discovery)
            self.watch.move(self.discovery)
        if start.platform != self.platform.address:
            self.platform = self._caller(start.platform)
            self.stream.move(self.platform)
        keys = {
            "name": "name",
            "listen": "listen",
            "seed": "seed",
            "sockets": "limits.sockets",
            "settings": "settings",
            "connection_limits": "settings",
        }
        return sorted(
            {
                key
                for field, key in keys.items()
                if getattr(start, field) != getattr(self.start, field)
            }
        )

    def begin(self, told=None):
        """The first moment of the decisions: the list as last known, and the news. told() is called whenever the
        watch has spoken: each list in what came is taken up by then, and an empty line says that there is none."""
        if told is not None:
            self.watch.reader = lambda: self._then(self._watch_reader(), told)
        self._listing(self.start.known, self.discovery.address)
        self.tell(self.start.news)
        # Where lists are asked for, all ask one service: a fleet that starts at once must not come there at once.
        self.watch.start_among(
            self.settings.instances
        ) if self.settings.lists_polled else self.watch.start()
        self.stream.start()
        self._refusals()

    @staticmethod
    def _then(read, told):
        def both(content):
            alive = read(content)
            if alive:  # less is a part of a line
                told()
            return alive

        return both

    def _refusals(self):
        pressure = round(self.engine.admission.pressure(self.clock(), ()), 2)
        self.timers.add(self.refusals.due(self.clock(), pressure=pressure), self._refusals)

    # What other packages use of the parts.

    @property
    def clients(self):
        return self.listener.clients

    @property
    def drained(self):
        return self.shutdown.listener_closed

    def serve(self):
        self.listener.serve()

    def finish(self, emptied, killed=None):
        self.shutdown.finish(emptied, killed)

    def drain(self, emptied):
        """For a while: a permit lets this instance go out, and `undrain` brings it back."""
        self.shutdown.finish(emptied)

    def undrain(self, listens, failed):
        self.shutdown.undrain(listens, failed)

    # Events into the decisions, their actions out.

    def tell(self, *events):
        """Hands events to the decisions in their order, with those that their actions bring about."""
        self.inbox += events
        if self.deciding:
            return
        self.deciding = True
        try:
            while self.inbox:
                self._decide(self.inbox.pop(0))
        finally:
            self.deciding = False

    def _decide(self, event):
        if type(event) is ReleaseUpdate:
            self._told(event)
        try:
            actions = self.engine.handle(self.clock(), [event])
        except Exception as error:  # costs the transaction of this event, not the program
            structured_log.fault("decisions", error)
            self._carry_out(self.engine.actions)
            held = self._held(getattr(event, "id", None))
            if held and not held.over and not held.out:
                self._final(held, ABANDONED)
                self.inbox.append(ClientDisconnected(held.id))
        else:
            self._carry_out(actions)

    def _carry_out(self, actions):
        for action in list(actions):
            try:
                self.ACTIONS[type(action)](self, action)
            except Exception as error:  # the other actions stand
                structured_log.fault(type(action).__name__, error)

    def _timer(self, action):
        self.timers.add(action.at, self.tell, TimerFired(action.token))

    def _note(self, action):
        structured_log.log("note", text=action.text)

    def _not_spoken(self, action):
        structured_log.log("not spoken here", action=type(action).__name__)

    # Clients.

    def gone(self, connection):
        """Its client waits for nothing more."""
        for held in self.transactions if connection.places else ():
            if held.connection is connection and not held.over:
                held.over = True
                if self.why is not None:
                    self.why.ended(held.id, self.why.left)
                self.tell(ClientDisconnected(held.id))
                for (
                    attempt
                ) in held.attempts:  # also where none may be recalled: these are not out yet
                    if attempt.out and not attempt.written():
                        attempt.withdraw()
                self._remember(held)
                self._let_go(held)

    @staticmethod
    def _ask_for(held):
        """Whether its client is there: the loop may have read something else before the end, or does not read it."""
        if not held.over and has_left(held.connection.transport):
            held.connection.readConnectionLost()

    def take(self, connection, place, command):
        name = command.id.decode()
        if command.request_class not in self.settings.request_classes:
            return connection.answer(place, resp.failure("ERR no such lane"))
        if name in self.by_id:
            self._ask_for(self._held(name))
            if connection.gone:  # it was the same
                return None
        if name in self.by_id or name in self.perhaps:
            return self._repeated(name, connection, place, command)
        if len(self.transactions) + len(self.perhaps) >= self.connection_limits.max_open:
            return connection.answer(place, resp.failure(BUSY))
        # Nothing is earned after the lane's outer limit: no client has a transaction held for longer.
        connection.used_at = self.clock()
        left = min(
            command.left * 10, self.settings.request_classes[command.request_class].outer_limit
        )
        answer_by = self.shutdown.answer_by
        if answer_by is not None:
            left = min(left, answer_by - connection.used_at)
            if left <= 0:
                return connection.answer(place, resp.failure(BUSY))
        held = InFlightRequest(name, command, connection, place, connection.used_at + left)
        held.slot = self.by_id[name] = self.transactions.add(held)
        held.deadline = self.timers.add(held.ends + OVERDUE, self._overdue, held)
        key = command.key.decode() or None
        self.exposure.took(connection.used_at, command.request_class)
        if self.why is not None:
            self.why.taken(name, command)
        return self.tell(
            RequestReceived(
                name, command.request_class, command.tenant, key, left, None, command.repeat, False
            )
        )

    def _repeated(self, name, connection, place, command):
        """A client whose connection was closed under a request that it thinks unread sends it once more. Where the
        first copy is out still, what it brings is the answer; where it may have run, it does not run again."""
        held = self._held(name)
        if held is None:
            return connection.answer(place, resp.failure("ERR this id may have run already"))
        if not held.over or not held.connection.gone or held.command[:3] != command[:3]:
            return connection.answer(place, resp.failure("ERR this id is in hand already"))
        now = self.clock()
        held.connection, held.place, held.over, held.heir = connection, place, False, True
        held.ends = now + min(
            command.left * 10, self.settings.request_classes[held.command.request_class].outer_limit
        )
        self.timers.cancel(held.deadline)
        held.deadline = self.timers.add(held.ends + OVERDUE, self._overdue, held)

    def _remember(self, held):
        """What may have run and was let go without an answer is not taken again for as long as it was asked for."""
        if (
            self.settings.request_classes[held.command.request_class].idempotency
            != Idempotency.IDEMPOTENT
            and held.id not in self.perhaps
            and any(attempt.may_have_run for attempt in held.attempts)
        ):
            self.perhaps.add(held.id)
            self.timers.add(held.ends, self.perhaps.discard, held.id)

    def _held(self, name):
        slot = self.by_id.get(name)
        return None if slot is None else self.transactions.get(slot)

    def _overdue(self, held):
        """No answer by its client's end: the decisions have missed it, and one is still owed."""
        if not held.over:
            structured_log.log("overdue", id=held.id, out=held.out)
            if self.why is not None:
                self.why.ended(held.id, self.why.abandoned)
            self._final(held, ABANDONED)
            self.tell(ClientDisconnected(held.id))

    def _final(self, held, content):
        if held and not held.over:
            held.over = True
            held.connection.answer(held.place, content)
            self._let_go(held)
            if self.why is not None and not held.out:
                self.why.over(held.id)

    def _let_go(self, held):
        if held.over and not held.out and self.by_id.get(held.id) == held.slot:
            del self.by_id[held.id]
            self.transactions.remove(held.slot)
            self.timers.cancel(held.deadline)

    def _defer(self, action):
        wait = -(-action.retry_after // 10)
        self._final(self._held(action.id), resp.failure(f"{BUSY} {wait}" if wait else BUSY))

    def _abandon(self, action):
        self._final(self._held(action.id), ABANDONED)

    # Deliveries.

    def _deliver(self, action):
        now, held = self.clock(), self._held(action.id)
        if held is None:
            return self.inbox.append(
                AttemptEnded(action.id, Outcome.NOT_SENT, True, 0, action.endpoint, 0, None)
            )
        self._ask_for(held)
        attempt = Attempt(
            self, held, self.listed.get(action.endpoint), now, min(now + action.timeout, held.ends)
        )
        held.attempts.append(attempt)
        held.out += 1
        if attempt.number >= self.settings.max_attempts or not attempt.may_be_written(
            self.addresses.get(action.endpoint)
        ):
            return self.ended(attempt, Outcome.NOT_SENT)
        attempt.deadline = self.timers.add(attempt.write_by, attempt.due)
        if not self.pools.send(action.endpoint, self.addresses[action.endpoint], attempt):
            structured_log.seldom("no descriptor for a pod", connections=len(self.pools))
            return self.ended(attempt, Outcome.NOT_SENT)

    def _recall(self, action):
        held = self._held(action.id)
        attempt = (
            held.attempts[action.number] if held and action.number < len(held.attempts) else None
        )
        if attempt and attempt.out:
            attempt.give_up(Outcome.CANCELLED)

    def ended(self, attempt, outcome, answer=None):
        """The one end of an attempt. The first good answer goes to the client by itself."""
        held = attempt.held
        attempt.out, attempt.may_have_run = False, PROOF[outcome] != "unrun"
        held.out -= 1
        if attempt.deadline is not None:
            self.timers.cancel(attempt.deadline)
        if outcome == Outcome.DONE and not held.over:
            held.over = True
            if self.why is not None:
                self.why.ended(held.id, self.why.done)
            held.connection.answer(held.place, resp.value(answer.value))
        load = self._load(answer.report) if answer and answer.report else None
        pod = attempt.pod.address if attempt.pod else ""
        event = AttemptEnded(
            held.id, outcome, held.over, self.clock() - attempt.at, pod, attempt.number, load
        )
        if self.gossip is not None and attempt.pod:
            self.gossip.ended(attempt, outcome)
        if held.heir and not held.out:  # the decisions are done with it
            self._final(held, ABANDONED)
        self._let_go(held)
        self.tell(event)
        if self.why is not None and held.over and not held.out:
            self.why.over(held.id)

    def answered_unheard(self, attempt, reason):
        """An answer that came too late, in part, spoilt, or may yet come: its key counts as answered."""
        command, after = attempt.held.command, self.clock() - attempt.at
        structured_log.seldom(
            "unheard answer",
            id=attempt.held.id,
            pod=attempt.pod.address,
            after=after,
            reason=reason,
        )
        self.tell(LateResponseSeen((command.key or command.id).decode(), attempt.pod.build))

    def _load(self, report):
        """The values of a report of names and values, in the order in which the terms name them."""
        told = dict(
            pair.partition("=")[::2] for pair in report.decode("utf-8", "replace").split(",")
        )
        try:
            load = tuple(float(told[name]) for name in self.settings.load_metrics)
        except (KeyError, ValueError):
            return None
        return load if all(map(isfinite, load)) else None

    def _close_idle(self, action):
        self.pools.retire(action.endpoint)

    # The list of pods.

    def _listing(self, listing, source):
        """Takes up a list that this address told; one that is not believed is an Unbelieved, and changes nothing."""
        whole, names = listing.update.kind != UpdateKind.DELTA, len(listing.update.endpoints)
        doubt = self.belief.doubt(source, listing.version, whole, names, len(self.listed))
        if doubt:
            raise discovery.StaleSnapshotError(*doubt)
        self.version, self.told_by = listing.version, source
        before, self.listed = (
            self.listed,
            dict(self.listed) if listing.update.kind == UpdateKind.DELTA else {},
        )
        changed = set()
        for pod in listing.update.endpoints:
            known = before.get(pod.address)
            # What stands open to an earlier process may be silent: it is another pod under the same id.
            if known and (known.started, known.build) != (pod.started, pod.build):
                changed.add(pod.address)
            if pod.condition == EndpointCondition.GONE:
                self.listed.pop(pod.address, None)
            else:
                self.listed[pod.address] = pod
        self.addresses = {
            pod: address
            for pod, address in {**self.addresses, **listing.addresses}.items()
            if pod in self.listed
        }
        self.inbox.append(listing.update)
        if self.gossip is not None:
            self.gossip.listed()
        self._withdraw(
            lambda pod, address: not self._stands(pod) or self.addresses[pod.address] != address
        )
        self.pools.keep_only({pod: at for pod, at in self.addresses.items() if pod not in changed})
        self.tell()

    def _since(self):
        """The version to ask from: each address counts for itself, so from a new one the whole list is wanted."""
        return self.version if self.told_by == self.discovery.address else 0

    def _stands(self, pod):
        now = self.listed.get(pod.address)
        return (
            now is not None
            and now.condition == EndpointCondition.READY
            and ((now.started, now.build) == (pod.started, pod.build))
        )

    def _withdraw(self, fails):
        """What is not written whole must not be carried past what was told since; until its last byte none runs."""
        deciding, self.deciding = (
            self.deciding,
            True,
        )  # what they become is decided with the news at hand
        try:
            for attempt, address in self.pools.unwritten():
                if fails(attempt.pod, address):
                    attempt.withdraw()
        finally:
            self.deciding = deciding

    def _watch_reader(self):
        lists, source = discovery.Lists(), self.discovery.address

        def read(content):
            alive = []

            def listings():
                for told in lists.feed(content):
                    alive.append(True)
                    if told is not None:
                        yield discovery.read_list(told, self.epoch)

            for listing in discovery.folded(listings()):
                self._listing(listing, source)
            return bool(alive)

        return read

    def _subscribe(self, action):
        pass  # the watch stands, or is asked for as often as discovery bears: a call beside it would be one too many

    def _fetch(self, action):
        fetched = self.discovery.call(
            discovery.fetch(self.discovery.host), self.settings.vote_timeout
        )
        fetched.addCallback(self._fetched, self.discovery.address)

    def _fetched(self, end, source):
        """source: the address that was asked. What a former one answers late is no news of the present one."""
        try:
            if source != self.discovery.address:
                raise discovery.UnreadableListError("asked at a former address")
            if not isinstance(end, Reply) or end.status != 200:
                raise discovery.UnreadableListError(
                    f"status {end.status}" if isinstance(end, Reply) else end.reason
                )
            self._listing(discovery.read_json(end.body, self.epoch), source)
        except Exception as error:  # the decisions are owed one answer, whatever came
            structured_log.log("list not fetched", error=str(error)[:MOST_REASON])
            self.tell(EndpointUpdate(UpdateKind.FETCH_FAILED, ()))

    # The platform.

    def _told(self, news):
        """Before the decisions hear it: a lower cap binds what still waits for a connection."""
        if news.outcome != Outcome.DONE:
            return
        old, self.news, self.news_at = self.news, news, self.clock()
        if old and old.build == news.build and (news.cap < old.cap or news.phase != old.phase):
            self._withdraw(lambda pod, _: pod.build >= news.build)

    def _stream_reader(self):
        events = http.EventStream()

        def read(content):
            for event, data in events.feed(content):
                told = deployer.read_event(
                    event, data
                )  # what can't be read ends the stream: it is asked for anew
                if told is not None and (
                    type(told) is ReleaseUpdate
                    or told.request_class in self.settings.request_classes
                ):
                    self.tell(told)
            return b"\n" in bytes(content)  # any whole line

        return read

    def _newest(self, news, asked):
        """The state that answers a call, as long as what the stream told while it was out is not the newer one: where
        neither is surely the newer, the one that lets less through holds. The next answer or event tells."""
        held = self.news
        if news.outcome != Outcome.DONE or held is None:
            return news
        older = news.build < held.build
        if news.build == held.build and asked - news.age <= self.news_at - held.age:
            older = self._lets_through(news) > self._lets_through(held)
        return held._replace(answers_vote=True) if older else news

    @staticmethod
    def _lets_through(news):
        return {ReleasePhase.ON_TRIAL: news.cap, ReleasePhase.RELEASED: 1.0}.get(news.phase, 0.0)

    def _vote(self, action):
        asked = self.clock()

        def answered(end):
            news = self._newest(deployer.vote_news(action.build, end), asked)
            structured_log.log(
                "vote",
                build=action.build,
                stage=action.stage,
                verdict=action.verdict,
                outcome=news.outcome,
            )
            self.tell(news)

        vote = self.platform.call(
            deployer.vote(self.platform.host, action), self.settings.vote_timeout
        )
        vote.addCallback(answered)

    ACTIONS = {
        SendAttempt: _deliver,
        CancelAttempt: _recall,
        Reject: _defer,
        Fail: _abandon,
        SetTimer: _timer,
        CloseIdleConnections: _close_idle,
        SubscribeToEndpoints: _subscribe,
        FetchEndpoints: _fetch,
        CastVote: _vote,
        LogNote: _note,
        ProbeEndpoint: _not_spoken,
        SendPeerMessage: _not_spoken,
    }
