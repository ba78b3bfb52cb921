"""Decoding and encoding of the simulator's lines, and the host that serves them."""

import io
import unittest

from thymeknot.interface.actions import (
    CancelAttempt,
    CastVote,
    Fail,
    LogNote,
    Reject,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
    SubscribeToEndpoints,
)
from thymeknot.interface.enums import EndpointCondition, Outcome, ReleasePhase, Verdict
from thymeknot.interface.events import (
    AttemptEnded,
    ComplaintReceived,
    Endpoint,
    PeerMessage,
    ReleaseUpdate,
    RequestReceived,
    ResponseStarted,
)
from thymeknot.simulator_wire import codec
from thymeknot.simulator_wire.host import Host, serve

SETTING_PAIRS = """balancers=3 categories.count=1 categories.0.give_up=2000000000 categories.0.key_scope=all
categories.0.late_worth=0.0 categories.0.name=fetch categories.0.promise=800000000
categories.0.semantics=idempotent categories.0.window=5000000000 categories.0.worth=1.0 discovery=automatic
extra.allowance=3.0 extra.calls_per_s=150.0 extra.counts=all extra.decided_by=by_count
extra.guarded_stages=2 extra.keys_stay=true extra.vote_life=4000000000 extra.vote_wait=1200000000
extra.votes_to_revert=1 extra.swap=replace extra.waves=0.04,0.1 extra.window=3000000000
permissions.max_attempts=4 permissions.max_retry_after=500000000 permissions.may_cancel=true
permissions.retry_after=true permissions.second_copies=false rules.ask_within=10000000000
rules.cold=4800000000 rules.cold_from=0.31 rules.fall_multiple=2.0 rules.overload_for=1500000000
stats.names= never.heard.of=1""".split()
NEW_INSTANCE_LINE = "NEW_INSTANCE sidecar-3 77 " + " ".join(SETTING_PAIRS)


class DecodingTest(unittest.TestCase):
    def test_events(self):
        cases = {
            "INGRESS 25 fetch sao 91f0 240000000 - 0 1": RequestReceived(
                "25", "fetch", "sao", "91f0", 2400, None, False, True
            ),
            "RESULT 25 delivered 1 18500000 10.1.1.1:50 0 0.5,2": AttemptEnded(
                "25", Outcome.DONE, True, 185, "10.1.1.1:50", 0, (0.5, 2.0)
            ),
            "ROLLOUT_STATE 42 2 0 1 delivered 0.125 310000000": ReleaseUpdate(
                42, 2, ReleasePhase.ON_TRIAL, True, Outcome.DONE, 0.125, 3100
            ),
            "ROLLOUT_STATE 42 - - 1 shed - -": ReleaseUpdate(
                42, None, None, True, Outcome.REJECTED, None, None
            ),
            "FIRST 25 300000 10.1.1.1:50 1": ResponseStarted("25", "10.1.1.1:50", 1, 3),
            "FLAGGED 2400000000 10.1.1.1:50 fetch": ComplaintReceived(
                24000, "10.1.1.1:50", "fetch"
            ),
            "MAIL 2 aGk=": PeerMessage(2, b"hi"),
        }
        for line, event in cases.items():
            name, *values = line.split()
            self.assertEqual(codec.read_event(name, values), event)

    def test_endpoint(self):
        values = "bien 1.5 0 fading 6100000000 10.2.2.2:44 std 42".split()
        self.assertEqual(
            codec.read_endpoint(values),
            Endpoint("10.2.2.2:44", "bien", 1.5, 0, EndpointCondition.DRAINING, 61000, "std", 42),
        )

    def test_latency_objective(self):
        self.assertEqual(
            codec.read_settings(SETTING_PAIRS).request_classes["fetch"].latency_objective, 8000
        )

    def test_error_names_the_missing_or_invalid_setting(self):
        with self.assertRaisesRegex(codec.MalformedLineError, "extra.window"):
            codec.read_settings(
                [pair for pair in SETTING_PAIRS if not pair.startswith("extra.window")]
            )
        with self.assertRaisesRegex(codec.MalformedLineError, "balancers"):
            codec.read_settings(
                [
                    "balancers=none" if pair.startswith("balancers") else pair
                    for pair in SETTING_PAIRS
                ]
            )

    def test_invalid_values_are_rejected(self):
        for line in ("RESULT 25 fine 1 1 a 0 -", "GONE", "TICK_DUE x"):
            with self.assertRaises(codec.MalformedLineError):
                codec.read_event(*[line.split()[0], line.split()[1:]])


class EncodingTest(unittest.TestCase):
    def test_actions(self):
        cases = {
            "TRY s-1 25 10.1.1.1:50 80000000": SendAttempt("25", "10.1.1.1:50", 800),
            "ABANDON s-1 25 1": CancelAttempt("25", 1),
            "REJECT s-1 25 100000": Reject("25", 1),
            "RESPOND_ERROR s-1 25": Fail("25"),
            "NOTIFY_ME s-1 8912200000 77": SetTimer(89122, 77),
            "POST s-1 all aGkgNw==": SendPeerMessage(None, b"hi 7"),
            "TAIL s-1 1": SubscribeToEndpoints(True),
            "VERDICT s-1 42 2 1": CastVote(42, 2, Verdict.PROMOTE),
            "TRACE s-1 two (odd) lines": LogNote("two {odd}\nlines"),
        }
        for line, action in cases.items():
            self.assertEqual(codec.write_action("s-1", action), line)


class HostTest(unittest.TestCase):
    def test_batch_reply_ends_with_ok(self):
        batch = [
            "BATCH 5000000000",
            NEW_INSTANCE_LINE,
            "CENSUS 0 1",
            "ENTRY a 1 0 on - 10.1.1.1:50 std 41",
            "ANNOUNCE sidecar-3 cached 1 0",
            "ROLLOUT_STATE sidecar-3 41 4 2 0 delivered 1 0",
            "INGRESS sidecar-3 25 fetch - 91f0 240000000 - 0 0",
            "YOUR_TURN",
            "",
        ]
        sink = io.StringIO()
        serve(batch, sink)
        lines = sink.getvalue().splitlines()
        self.assertEqual(lines[0], "TRY sidecar-3 25 10.1.1.1:50 240000000")
        self.assertEqual(lines[-1], "OK")

    def test_error_quotes_the_invalid_line(self):
        for line in ("GONE sidecar-9 25", "HELLO sidecar-3", "ENTRY a 1 0 on - p std 41"):
            with self.assertRaisesRegex(codec.MalformedLineError, line.split()[0]):
                Host().batch(5, [line])

    def test_killed_instance_is_removed(self):
        host = Host()
        host.batch(5, [NEW_INSTANCE_LINE])
        host.batch(6, ["KILLED sidecar-3"])
        self.assertEqual(host.instances, {})

    def test_engine_exception_is_reported_as_fault(self):
        host = Host()
        host.batch(5, [NEW_INSTANCE_LINE])
        host.instances["sidecar-3"] = None
        reply = host.batch(6, ["GONE sidecar-3 25"])
        self.assertRegex(reply[0], "^FAULT sidecar-3 AttributeError")
