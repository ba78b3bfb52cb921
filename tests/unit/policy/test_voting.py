"""When an instance votes, and with which verdict."""

import unittest

from tests.support.decisions import NOW, make_endpoint, make_engine, make_release_update
from tests.unit.policy.outcomes import record_outcomes
from thymeknot.interface.actions import CastVote
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    EndpointCondition,
    Outcome,
    PromotionMode,
    ReleasePhase,
    UpdateKind,
    Verdict,
)
from thymeknot.interface.events import EndpointUpdate


class VotingTest(unittest.TestCase):
    def test_failures_abort_and_successes_promote(self):
        engine = make_engine(release_update=make_release_update())
        record_outcomes(engine, Outcome.DONE, "new-1", 90)
        self.assertEqual(engine.voting.verdict(), Verdict.PROMOTE)
        record_outcomes(engine, Outcome.ERROR, "new-1", 6)
        self.assertEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_in_timer_mode_half_the_bound_pauses(self):
        engine = make_engine(
            release_update=make_release_update(), promotion_mode=PromotionMode.TIMER
        )
        engine.sequential_test.evidence_ratio = 0.6
        self.assertEqual(engine.voting.verdict(), Verdict.PAUSE)
        engine.sequential_test.evidence_ratio = 0.4
        self.assertEqual(engine.voting.verdict(), Verdict.ABSTAIN)

    def test_a_vote_is_renewed_before_it_expires_and_withdrawn_without_evidence(self):
        engine = make_engine(release_update=make_release_update())
        engine.voting.vote, engine.voting.vote_cast_at, engine.voting.next_check_at = (
            CastVote(2, 1, Verdict.PROMOTE),
            NOW - engine.context.settings.vote_lifetime // 2,
            NOW,
        )
        engine.voting.cast()
        self.assertIn(CastVote(2, 1, Verdict.PROMOTE), engine.context.actions)
        (
            engine.context.actions,
            engine.voting.next_check_at,
            engine.sequential_test.below_pause_since,
        ) = (
            [],
            NOW,
            NOW,
        )
        engine.voting.cast()
        self.assertIn(CastVote(2, 1, Verdict.ABSTAIN), engine.context.actions)

    def test_a_vote_without_a_response_is_cast_again(self):
        engine = make_engine(release_update=make_release_update())
        engine.voting.cast()
        engine.context.actions, engine.context.now = (
            [],
            NOW + engine.context.settings.vote_timeout + TICKS_PER_SECOND,
        )
        engine.voting.cast()
        self.assertIn(CastVote(2, 1, Verdict.PROMOTE), engine.context.actions)

    def test_endpoints_of_a_withdrawn_build_do_not_delay_the_next_one(self):
        # The release update arrives before the endpoint list. When endpoints that were still to drain
        # counted towards the next build's stage, half of the sidecars never voted for it.
        earlier, withdrawn = (
            [make_endpoint(f"o-{n}") for n in range(40)],
            [make_endpoint(f"g-{n}", 2) for n in range(40)],
        )
        engine = make_engine(*earlier, *withdrawn, release_update=make_release_update(3, build=2))
        engine.handle(
            NOW,
            [
                make_release_update(0, ReleasePhase.WITHDRAWN, 0.0, 2),
                make_release_update(0, build=3),
            ],
        )
        draining = tuple(
            endpoint._replace(condition=EndpointCondition.DRAINING) for endpoint in withdrawn
        )
        engine.handle(
            NOW,
            [
                EndpointUpdate(
                    UpdateKind.DELTA,
                    (*draining, *(make_endpoint(f"n-{n}", 3, NOW) for n in range(4))),
                )
            ],
        )
        engine.context.now += 9 * TICKS_PER_SECOND
        self.assertEqual(engine.voting.verdict(), Verdict.PROMOTE)

    def test_promotion_waits_until_the_newest_endpoints_are_warm_enough(self):
        for warmup_seconds, age, verdict in (
            (2, 1.0, Verdict.ABSTAIN),
            (2, 1.5, Verdict.PROMOTE),
            (40, 2.9, Verdict.ABSTAIN),
            (40, 3.1, Verdict.PROMOTE),
        ):
            engine = make_engine(
                make_endpoint("old-1"),
                make_endpoint("new-1", 2, NOW),
                release_update=make_release_update(),
                warmup_duration=warmup_seconds * TICKS_PER_SECOND,
            )
            (
                engine.voting.turn_offset,
                engine.sequential_test.below_pause_since,
                engine.context.now,
            ) = (
                0,
                NOW - 9 * TICKS_PER_SECOND,
                NOW + int(age * TICKS_PER_SECOND),
            )
            self.assertEqual(engine.voting.verdict(), verdict, (warmup_seconds, age))

    def test_the_last_promotion_waits_until_the_newest_endpoints_are_fully_warm(self):
        # The warm-up takes 4 s; an endpoint has 0.75 of its capacity after 2.7 s.
        for stage, age, verdict in (
            (1, 3.1, Verdict.PROMOTE),
            (4, 3.1, Verdict.ABSTAIN),
            (4, 4.1, Verdict.PROMOTE),
        ):
            engine = make_engine(
                make_endpoint("old-1"),
                make_endpoint("new-1", 2, NOW),
                release_update=make_release_update(stage=stage),
            )
            (
                engine.voting.turn_offset,
                engine.sequential_test.below_pause_since,
                engine.context.now,
            ) = (
                0,
                NOW - 9 * TICKS_PER_SECOND,
                NOW + int(age * TICKS_PER_SECOND),
            )
            self.assertEqual(engine.voting.verdict(), verdict, (stage, age))

    def test_a_restarted_endpoint_does_not_delay_promotion(self):
        endpoints = [
            make_endpoint("old-1"),
            make_endpoint("old-2"),
            make_endpoint("new-1", 2, NOW),
            make_endpoint("new-2", 2, NOW),
        ]
        for started_endpoint, verdict in (
            (make_endpoint("new-1", 2, NOW + 8 * TICKS_PER_SECOND), Verdict.PROMOTE),
            (make_endpoint("new-3", 2, NOW + 8 * TICKS_PER_SECOND), Verdict.ABSTAIN),
        ):
            engine = make_engine(*endpoints, release_update=make_release_update())
            engine.voting.verdict()
            engine.handle(
                NOW + 7 * TICKS_PER_SECOND,
                [
                    EndpointUpdate(
                        UpdateKind.DELTA, (endpoints[2]._replace(condition=EndpointCondition.GONE),)
                    )
                ],
            )
            engine.handle(
                NOW + 9 * TICKS_PER_SECOND, [EndpointUpdate(UpdateKind.DELTA, (started_endpoint,))]
            )
            self.assertEqual(engine.voting.verdict(), verdict)

    def test_one_chance_failure_does_not_prevent_promotion_after_a_quiet_period(self):
        engine = make_engine(release_update=make_release_update(), votes_to_revert=2)
        engine.sequential_test.sums["failed"], engine.context.now = 1.0, NOW + 5 * TICKS_PER_SECOND
        self.assertEqual(engine.voting.verdict(), Verdict.PROMOTE)

    def test_no_promotion_until_enough_of_the_stages_endpoints_are_listed(self):
        earlier = [make_endpoint(f"old-{n}") for n in range(8)]
        engine = make_engine(
            *earlier,
            make_endpoint("new-1", 2),
            make_endpoint("new-2", 2),
            release_update=make_release_update(stage=2),
        )
        engine.context.now += 9 * TICKS_PER_SECOND
        self.assertEqual(engine.voting.verdict(), Verdict.ABSTAIN)
        engine.handle(
            engine.context.now, [EndpointUpdate(UpdateKind.DELTA, (make_endpoint("new-3", 2),))]
        )
        self.assertEqual(engine.voting.verdict(), Verdict.PROMOTE)
