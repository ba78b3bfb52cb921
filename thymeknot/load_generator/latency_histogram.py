"""Latencies in HDR histograms, by lane: corrected (from the time a request was due, so that a stall counts for all that
it held up) and served (from its sending). Times are tenths of a millisecond."""

from hdrh.histogram import HdrHistogram

MOST, DIGITS = 10 * 60 * 10_000, 3
ENDS = ("done", "deferred", "abandoned", "lost")


class Tally:
    def __init__(self):
        self.corrected, self.served, self.late = {}, {}, HdrHistogram(1, MOST, DIGITS)
        self.all = HdrHistogram(1, MOST, DIGITS)
        self.ends, self.due, self.sent = dict.fromkeys(ENDS, 0), 0, 0

    def looked_at(self, now, request):
        """It was due: how late the tool itself is."""
        self.due += 1
        self.late.record_value(max(1, min(MOST, now - request.at)))

    def ended(self, now, request, sent_at, how):
        self.ends[how] += 1
        if how != "done":
            return
        for found, since in ((self.corrected, request.at), (self.served, sent_at)):
            if request.lane.name not in found:
                found[request.lane.name] = HdrHistogram(1, MOST, DIGITS)
            found[request.lane.name].record_value(max(1, min(MOST, now - since)))
        self.all.record_value(max(1, min(MOST, now - request.at)))

    def figures(self, seconds):
        """For people and programs; milliseconds."""

        def told(histogram):
            return {
                name: round(histogram.get_value_at_percentile(at) / 10, 2)
                for name, at in (
                    ("p50", 50),
                    ("p90", 90),
                    ("p99", 99),
                    ("p999", 99.9),
                    ("max", 100),
                )
            }

        return {
            "seconds": seconds,
            "due": self.due,
            "sent": self.sent,
            "ends": self.ends,
            "done_per_s": round(self.ends["done"] / seconds, 1),
            "corrected_ms": {name: told(one) for name, one in sorted(self.corrected.items())},
            "served_ms": {name: told(one) for name, one in sorted(self.served.items())},
            "own_lateness_ms": told(self.late),
        }
