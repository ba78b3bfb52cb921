"""Vote responses that are received after a newer event of the release stream."""

import unittest

from tests.unit.proxy.test_proxy import Network, endpoint_entry
from thymeknot.interface.actions import CastVote
from thymeknot.interface.enums import Outcome, ReleasePhase, Verdict

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STATUS_BY_PHASE = {
    ReleasePhase.ON_TRIAL: "trial",
    ReleasePhase.ROLLING_BACK: "rolling_back",
    ReleasePhase.RELEASED: "released",
}


def event(build=42, step=0, status="trial", cap=0.5, observed_ago_ms=5):
    text = (
        f"event: progress\ndata: version={build}&step={step}&status={status}&maxWeight={cap}"
        f"&observedAgoMs={observed_ago_ms}\n\n"
    ).encode()
    return b"%x\r\n%s\r\n" % (len(text), text)


def reply(build=42, step=0, status="trial", cap=0.5, observed_ago_ms=5):
    body = (
        f"<Response><entries><item><version>{build}</version><step>{step}</step><status>{status}</status>"
        f"<maxWeight>{cap}</maxWeight><observedAgoMs>{observed_ago_ms}</observedAgoMs></item></entries></Response>"
    ).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class VoteResponseTest(unittest.TestCase):
    def state_after_vote(self, event_fields, response_fields):
        """Returns the release state after a vote response that arrives after a stream event.

        The event, if any, arrives 0.1 s after the vote was cast, and the response 0.1 s later.
        """
        network = Network(
            endpoint_entry("s-1"),
            endpoint_entry("s-2", build=42),
            version=42,
            step=0,
            status="trial",
            maxWeight=0.5,
            observedAgoMs=3000,
        )
        stream = network.connect(1)
        stream.dataReceived(HEAD + event(observed_ago_ms=3000))
        network.proxy.releases.cast_vote(CastVote(42, 0, Verdict.PROMOTE))
        call = network.connect()
        call.resumeProducing()
        network.reactor.advance(0.1)
        if event_fields:
            stream.dataReceived(event(**event_fields))
        network.reactor.advance(0.1)
        votes = []
        network.proxy.engine.voting.handle_response = lambda update: votes.append(update.outcome)
        call.dataReceived(reply(**response_fields))
        self.assertEqual(votes, [Outcome.DONE])  # the vote counts, whichever state is newer
        proxy_state, engine_state = (
            (release.build, STATUS_BY_PHASE[release.phase], release.cap)
            for release in (network.proxy.releases.latest, network.proxy.engine.context.release)
        )
        self.assertEqual(proxy_state, engine_state)
        return proxy_state

    def test_older_vote_response_does_not_raise_the_cap(self):
        for observed_ago_ms in (
            3000,
            50,
            0,
        ):  # also if it was so long in transit that it seems newer
            self.assertEqual(
                self.state_after_vote(
                    {"status": "rolling_back", "cap": 0.0}, {"observed_ago_ms": observed_ago_ms}
                ),
                (42, "rolling_back", 0.0),
            )
        self.assertEqual(self.state_after_vote({"cap": 0.1}, {}), (42, "trial", 0.1))
        self.assertEqual(
            self.state_after_vote({"build": 43, "cap": 0.05}, {"status": "released", "cap": 1.0}),
            (43, "trial", 0.05),
        )

    def test_newer_vote_response_advances_the_state(self):
        self.assertEqual(
            self.state_after_vote(None, {"step": 1, "cap": 0.9, "observed_ago_ms": 0}),
            (42, "trial", 0.9),
        )
        self.assertEqual(
            self.state_after_vote(None, {"build": 43, "cap": 0.1, "observed_ago_ms": 0}),
            (43, "trial", 0.1),
        )

    def test_vote_response_that_rolls_back_takes_effect_at_once(self):
        self.assertEqual(
            self.state_after_vote(
                {"step": 1, "cap": 0.9},
                {"status": "rolling_back", "cap": 0.0, "observed_ago_ms": 0},
            ),
            (42, "rolling_back", 0.0),
        )


if __name__ == "__main__":
    unittest.main()
