"""Judges a play by the users' pages, from what was seen outside of the program alone.

Each bound is the page's, with the time for which the page lets a sidecar be held up between its clock and its writing.
What is excused names the sentence of the page.
"""

from dataclasses import dataclass

from tests.soak.plan import NEWEST
from tests.soak.sidecar import KILL_AFTER, READY_WITHIN

HELD_UP = 0.15  # seconds: "a sidecar that is held up for up to 0.15 s"
SLACK = 0.05  # seconds: "every time limit is longer by 50 ms"
LATE = 0.5  # seconds: "up to half a second after its time it only earns nothing"
LEFT = 0.1  # seconds: "begins more than 0.1 s after the close is a break"
CAP_BINDS = 0.15  # seconds: "a lower cap binds 150 ms later"
KEY_STAYS = 0.15  # seconds from a good answer: "the key counts as answered"
BAD_CLIENT = 3.0  # seconds: "their error or close within the 3 s that bad clients are owed"
CROSSES = 0.1  # seconds before its close was seen in which a request may have crossed it
WINDOW = 3.0  # seconds, of the settings: exposure
ALLOWANCE = 3.0  # attempts, of the settings
CAP_SLACK_ATTEMPTS = 2
CAP_SLACK_PART = 1.04  # "2 attempts and 4% above the cap pass"
DEDUPLICATION = 5.0  # seconds, of the settings
TIMEOUT_SLACK = 0.15  # seconds: what an attempt tells its pod may be above what is left
UNTIMED = frozenset(("lost", "answers", "twice", "fault", "status"))
"""Kinds of breaches that no want of a processor excuses."""
NEW_PROCESS = 0.3  # seconds: "from 300 ms after discovery last wrote it"


@dataclass(frozen=True)
class Breach:
    """What broke.

    Attributes:
        kind: the rule in a word.
        name: the request that it is about, if it is about one.
    """

    kind: str
    text: str
    name: str | None = None


class Checks:
    """All checks of one play."""

    def __init__(self, plan, ledger):
        self.plan, self.ledger, self.breaches = plan, ledger, []
        self.by_request = {}
        for attempt in ledger.attempts:
            self.by_request.setdefault(attempt.name, []).append(attempt)

    def broke(self, kind, text, name=None):
        self.breaches.append(Breach(kind, text, name))

    def run(self):
        """Every breach of the play."""
        for request in self.ledger.requests.values():
            if request.sent_at:
                self._answer(request)
                self._repeats(request)
                self._left(request)
                self._timeouts(request)
        self._drains()
        self._exposure()
        self._keys()
        self._bad_clients()
        self._processes()
        for text in self.ledger.odd:
            self.broke("answers", text)
        return self.breaches

    # One final answer in time.

    def _answer(self, request):
        if len(request.responses) > 1:
            self.broke("answers", f"{len(request.responses)} answers", request.name)
        if request.responses:
            self._content(request)
            at = request.responses[0][0]
            due = request.response_deadline_at() + LATE + HELD_UP
            if at > due and request.left_at is None:
                self.broke("late", f"answered {at - due:.3f} s after its time", request.name)
            return
        if request.left_at is not None:  # "when a client closes its connection, it has gone away"
            return
        if request.refused:  # "for 0.2 to 0.4 s new connections keep coming": not later
            return
        process = self.ledger.processes[request.process]
        if process.killed and process.stop_at is None:  # it was killed outright
            return
        if process.ended_at is not None and process.stop_at is None:
            self.broke("lost", "its process has ended by itself", request.name)
            return
        if process.killed and request.sent_at > process.kill_at - HELD_UP:
            return
        self.broke("lost", "never answered", request.name)

    def _content(self, request):
        answer = request.responses[0][1]
        if answer.startswith(b"$"):
            value = answer.split(b"\r\n")[1].decode()
            if value.split(":")[0] != request.name:
                text = f"answered with {value}, {self._copy_of(value)}"
                self.broke("answers", text, request.name)
            good = [
                one
                for one in self.by_request.get(request.name, ())
                if one.outcome in ("good", "twice")
            ]
            if not good:
                self.broke("answers", "served with what no endpoint made", request.name)
        elif answer.startswith(b"-BUSY"):
            perhaps = [
                one
                for one in self.by_request.get(request.name, ())
                if one.outcome != "busy" and one.lane == "pay"
            ]
            if perhaps:
                self.broke("twice", "refused though it may have run", request.name)
        elif not answer.startswith(b"-ERR"):
            self.broke("answers", f"answered with {answer[:60]!r}", request.name)

    def _copy_of(self, value):
        """Tells how long after its answer a second copy of this value was written."""
        name, pod, _ = value.split(":")
        for attempt in self.by_request.get(name, ()):
            if attempt.pod == pod and attempt.copied_at is not None:
                return f"copied {1000 * (attempt.copied_at - attempt.answered_at):.1f} ms later"
        return "never copied"

    # No effect twice, and nothing for a client that has gone.

    def _repeats(self, request):
        attempts = self.by_request.get(request.name, [])
        perhaps = None
        for attempt in attempts:
            if perhaps is not None and request.lane == "pay":
                self.broke("twice", "sent again while it may have run", request.name)
            if (
                perhaps is not None
                and request.lane == "mark"
                and attempt.whole_at > perhaps.whole_at + DEDUPLICATION + SLACK
            ):
                self.broke("twice", "sent again after the deduplication window", request.name)
            turned_away = attempt.outcome == "busy" and attempt.answered_at is not None
            if perhaps is None and not turned_away:
                perhaps = attempt

    def _left(self, request):
        if request.left_at is None:
            return
        for attempt in self.by_request.get(request.name, ()):
            after = attempt.whole_at - request.left_at
            if after > LEFT + HELD_UP:
                self.broke("left", f"an attempt {after:.3f} s after its client left", request.name)

    def _timeouts(self, request):
        for attempt in self.by_request.get(request.name, ()):
            left = request.deadline_at() - attempt.whole_at
            if not request.again and attempt.timeout > max(left, 0) + TIMEOUT_SLACK + SLACK:
                text = f"told {attempt.timeout:.3f} s with {left:.3f} s left"
                self.broke("timeout", text, request.name)

    # Nothing new to a drained endpoint.

    def _drains(self):
        told = {}
        for state in self.ledger.pods_told:
            told.setdefault((state.instance, state.pod), []).append(state)
        for attempt in self.ledger.attempts:
            states = told.get((attempt.instance, attempt.pod), ())
            before = [state for state in states if state.at <= attempt.begun_at]
            if not before:
                continue
            # The first word of the present spell of not being ready.
            spell = None
            for state in before:
                if state.state == "Ready":
                    spell = None
                elif spell is None:
                    spell = state.at
            if spell is not None and attempt.begun_at > spell + SLACK + HELD_UP:
                after = attempt.begun_at - spell
                text = f"{attempt.pod} gets it {after:.3f} s after its drain was told"
                self.broke("drain", text, attempt.name)
            newest = before[-1]
            if attempt.life < newest.life and attempt.begun_at > newest.at + NEW_PROCESS + HELD_UP:
                self.broke("drain", f"{attempt.pod}: to the process before", attempt.name)

    # Exposure and keys.

    def _news_of(self, instance):
        return [news for news in self.ledger.news_told if news.instance == instance]

    def _exposure(self):
        for instance in range(self.plan.instance_count):
            news = self._news_of(instance)
            tried = [
                attempt
                for attempt in self.ledger.attempts
                if attempt.instance == instance and attempt.build == NEWEST
            ]
            taken = sorted(
                request.sent_at
                for request in self.ledger.requests.values()
                if request.instance == instance and request.sent_at
            )
            first = self.plan.trial.changes[0][2]
            for attempt in tried:
                self._one_window(attempt, tried, taken, news, first)

    def _one_window(self, attempt, tried, taken, news, first):
        end = attempt.whole_at
        begin = end - WINDOW
        in_force = [(float("-inf"), "trial", first)]
        in_force += [(one.at, one.status, one.cap) for one in news]
        current = [one for one in in_force if one[0] <= end][-1]
        since = max(at for at, *_ in in_force if at <= end)
        if current[1] in ("rolling_back", "withdrawn") and end > since + CAP_BINDS + HELD_UP:
            self.broke("exposure", "to a build that takes nothing any more", attempt.name)
        lately = [one for one in in_force if one[0] <= end and one[0] > begin - CAP_BINDS]
        before = [one for one in in_force if one[0] <= begin - CAP_BINDS][-1]
        caps = [before, *lately]
        if any(status != "trial" for _, status, _ in caps):
            return
        cap = max(one[2] for one in caps)
        count = sum(begin < one.whole_at <= end for one in tried)
        requests = sum(begin - HELD_UP < at <= end for at in taken)
        most = (ALLOWANCE + cap * requests) * CAP_SLACK_PART + CAP_SLACK_ATTEMPTS
        if count > most:
            text = f"{count} attempts in {WINDOW} s, {most:.1f} allowed of {requests} requests"
            self.broke("exposure", text, attempt.name)

    def _keys(self):
        """A key that the newest build has answered stays with it while that is open to requests."""
        for instance in range(self.plan.instance_count):
            news = self._news_of(instance)
            back = min(
                (one.at for one in news if one.status in ("rolling_back", "withdrawn")),
                default=float("inf"),
            )
            starts = [
                process.started_at
                for process in self.ledger.processes
                if process.instance == instance
            ]
            answered = {}
            for attempt in sorted(
                (one for one in self.ledger.attempts if one.instance == instance),
                key=lambda one: one.whole_at,
            ):
                known = answered.get(attempt.key)
                # Another process knows nothing of it.
                known_here = known is not None and not any(
                    known < start <= attempt.whole_at for start in starts
                )
                if (
                    known_here
                    and attempt.build < NEWEST
                    and known + KEY_STAYS + HELD_UP < attempt.begun_at < back
                ):
                    text = f"its key was answered by {NEWEST} {attempt.begun_at - known:.3f} s ago"
                    self.broke("key", text, attempt.name)
                if attempt.build == NEWEST and attempt.outcome in ("good", "twice"):
                    answered.setdefault(attempt.key, attempt.answered_at)

    # Bad clients and processes.

    def _bad_clients(self):
        for bad in self.ledger.bad_clients:
            process = self.ledger.processes[bad.process]
            if process.killed:
                continue
            ended = bad.ended_at if bad.ended_at is not None else bad.left_at
            owed = bad.ended_at is None and (ended or 0) - bad.since < BAD_CLIENT
            if not owed and (ended is None or ended > bad.since + BAD_CLIENT + HELD_UP + SLACK):
                self.broke("bad client", f"{bad.what} has no end after {BAD_CLIENT} s")

    def _processes(self):
        for process in self.ledger.processes:
            told = f"process {process.number}"
            for line in process.faults[:3]:
                self.broke("fault", f"{told}: {line[:200]}")
            if process.killed and process.stop_at is not None:
                self.broke("end", f"{told} had not ended {KILL_AFTER:.1f} s after SIGTERM")
            elif not process.killed and process.status != 0:
                early = process.ready_at is None and process.status == -15
                if not early:
                    self.broke("status", f"{told} ended with status {process.status}")
            ready = process.ready_at
            if ready is None and process.stop_at is None and not process.killed:
                self.broke("start", f"{told} was never ready")
            elif ready is not None and ready > process.started_at + READY_WITHIN:
                self.broke("start", f"{told} was ready after {ready - process.started_at:.1f} s")
