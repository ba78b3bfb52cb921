"""What the logs of a fleet say together: why work was turned away, how votes fared, what faulted, by stretches of time.
Pure: lines in, counts out. Bounded by the events' closed tables, the longest time told and the busiest sidecars."""

from collections import Counter

import orjson

from ..service.log_events import CURRENT_NAMES

BUSIEST, SPAN_MOST = 5, 10_000  # sidecars named; stretches of time kept
VERDICTS = ("none", "on", "hold", "back")


def event_of(line):
    """The event of a log line, whatever stands before it; None where there is none."""
    begin = line.find(b"{")
    if begin < 0:
        return None
    try:
        event = orjson.loads(line[begin:])
    except orjson.JSONDecodeError:
        return None
    return (
        event
        if isinstance(event, dict)
        and isinstance(event.get("event"), str)
        and isinstance(event.get("at"), (int, float))
        else None
    )


class Summary:
    """Fed line by line with whose log it is; every: seconds of a stretch."""

    def __init__(self, every=5.0):
        self.every, self.begun, self.unread, self.sidecars = every, None, 0, set()
        self.reasons, self.votes, self.faults, self.by, self.streams = (Counter() for _ in range(5))
        self.starts = 0
        self.spans = {}

    def feed(self, whose, line):
        event = event_of(line)
        if event is None:
            self.unread += 1
            return
        self.sidecars.add(whose)
        name = CURRENT_NAMES.get(event["event"], event["event"])
        take = self.EVENTS.get(name)
        if take:
            take(self, whose, event, self._span(event["at"]))

    def _span(self, at):
        """The counts of the stretch in which this was."""
        self.begun = at if self.begun is None else min(self.begun, at)
        place = int(at // self.every)
        if place not in self.spans and len(self.spans) >= SPAN_MOST:
            place = max(self.spans)
        return self.spans.setdefault(place, Counter())

    def _turned_away(self, whose, event, span):
        for how in ("deferred", "abandoned"):
            told = event.get(how)
            for why, count in told.items() if isinstance(told, dict) else ():
                if isinstance(count, int):
                    self.reasons[f"{how} {why}"] += count
                    span[f"{how} {why}"] += count
                    self.by[whose] += count

    def _vote(self, whose, event, span):
        verdict, outcome = event.get("verdict"), str(event.get("outcome"))
        name = VERDICTS[verdict] if verdict in range(len(VERDICTS)) else "unknown"
        self.votes[f"{name} {outcome}"] += 1
        span[f"vote {name} {outcome}"] += 1

    def _stream(self, whose, event, span):
        """Lists and news that ended, and whether the peer turned the asking away: the same for all is one cause."""
        refusals = event.get("refusals")
        how = "refused" if isinstance(refusals, int) and refusals else "ended"
        if event["event"] == "stream silent":
            how = "silent"
        self.streams[how] += 1
        span[f"stream {how}"] += 1

    def _started(self, whose, event, span):
        self.starts += 1
        span["started"] += 1

    def _fault(self, whose, event, span):
        self.faults[f"{event['event']} {event.get('at_line', '')}".strip()] += 1

    EVENTS = {
        "requests rejected": _turned_away,
        "vote": _vote,
        "fault": _fault,
        "request overdue": _fault,
        "stream ended": _stream,
        "stream silent": _stream,
        "endpoint list not fetched": _stream,
        "ready": _started,
    }

    def figures(self):
        asked = sum(self.votes.values())
        full = sum(count for name, count in self.votes.items() if name.endswith(" full"))
        return {
            "sidecars": len(self.sidecars),
            "starts": self.starts,
            "streams": dict(self.streams.most_common()),
            "turned_away": dict(self.reasons.most_common()),
            "busiest": dict(self.by.most_common(BUSIEST)),
            "votes": dict(self.votes.most_common()),
            "votes_full_share": round(full / asked, 3) if asked else None,
            "faults": dict(self.faults),
            "unread_lines": self.unread,
        }

    def stretches(self):
        """(seconds since the first event, counts most first) of each stretch in which something was."""
        for place in sorted(self.spans):
            if self.spans[place]:
                yield (
                    round(place * self.every - self.begun, 1),
                    dict(self.spans[place].most_common()),
                )
