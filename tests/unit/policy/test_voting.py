"""When the instance votes, and for what."""

import unittest

from tests.support.decisions import NOW, balancer, news, pod
from tests.unit.policy.outcomes import judged
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
    def test_failures_vote_back_and_successes_vote_on(self):
        made = balancer(told=news())
        judged(made, Outcome.DONE, "new-1", 90)
        self.assertEqual(made.voting.verdict(), Verdict.PROMOTE)
        judged(made, Outcome.ERROR, "new-1", 6)
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_under_the_clock_half_the_bound_holds(self):
        made = balancer(told=news(), promotion_mode=PromotionMode.TIMER)
        made.sequential_test.evidence_ratio = 0.6
        self.assertEqual(made.voting.verdict(), Verdict.PAUSE)
        made.sequential_test.evidence_ratio = 0.4
        self.assertEqual(made.voting.verdict(), Verdict.ABSTAIN)

    def test_a_vote_is_renewed_before_it_lapses_and_withdrawn_when_its_ground_is_gone(self):
        made = balancer(told=news())
        made.voting.vote, made.voting.vote_cast_at, made.voting.next_check_at = (
            CastVote(2, 1, Verdict.PROMOTE),
            NOW - made.context.settings.vote_lifetime // 2,
            NOW,
        )
        made.voting.cast()
        self.assertIn(CastVote(2, 1, Verdict.PROMOTE), made.context.actions)
        made.context.actions, made.voting.next_check_at, made.sequential_test.clear_since = (
            [],
            NOW,
            NOW,
        )
        made.voting.cast()
        self.assertIn(CastVote(2, 1, Verdict.ABSTAIN), made.context.actions)

    def test_an_unanswered_vote_is_asked_again(self):
        made = balancer(told=news())
        made.voting.cast()
        made.context.actions, made.context.now = (
            [],
            NOW + made.context.settings.vote_timeout + TICKS_PER_SECOND,
        )
        made.voting.cast()
        self.assertIn(CastVote(2, 1, Verdict.PROMOTE), made.context.actions)

    def test_pods_of_a_build_that_was_taken_off_are_no_places_of_the_next(self):
        # News comes before the list: what drains by then was counted, and half of the sidecars never voted.
        earlier, late = [pod(f"o-{n}") for n in range(40)], [pod(f"g-{n}", 2) for n in range(40)]
        made = balancer(*earlier, *late, told=news(3, build=2))
        made.handle(NOW, [news(0, ReleasePhase.WITHDRAWN, 0.0, 2), news(0, build=3)])
        gone = tuple(one._replace(condition=EndpointCondition.DRAINING) for one in late)
        made.handle(
            NOW,
            [EndpointUpdate(UpdateKind.DELTA, (*gone, *(pod(f"n-{n}", 3, NOW) for n in range(4))))],
        )
        made.context.now += 9 * TICKS_PER_SECOND
        self.assertEqual(made.voting.verdict(), Verdict.PROMOTE)

    def test_a_vote_for_on_waits_until_the_newest_pods_are_warm_enough_to_judge(self):
        for cold, age, vote in (
            (2, 1.0, Verdict.ABSTAIN),
            (2, 1.5, Verdict.PROMOTE),
            (40, 2.9, Verdict.ABSTAIN),
            (40, 3.1, Verdict.PROMOTE),
        ):
            made = balancer(
                pod("old-1"),
                pod("new-1", 2, NOW),
                told=news(),
                warmup_duration=cold * TICKS_PER_SECOND,
            )
            made.voting.offset, made.sequential_test.clear_since, made.context.now = (
                0,
                NOW - 9 * TICKS_PER_SECOND,
                NOW + int(age * TICKS_PER_SECOND),
            )
            self.assertEqual(made.voting.verdict(), vote, (cold, age))

    def test_the_last_stages_release_waits_until_the_newest_pods_can_carry_all(self):
        for stage, age, vote in (
            (1, 3.1, Verdict.PROMOTE),
            (4, 3.1, Verdict.ABSTAIN),
            (4, 4.1, Verdict.PROMOTE),
        ):  # cold: 4 s, 0.75 after 2.7
            made = balancer(pod("old-1"), pod("new-1", 2, NOW), told=news(stage=stage))
            made.voting.offset, made.sequential_test.clear_since, made.context.now = (
                0,
                NOW - 9 * TICKS_PER_SECOND,
                NOW + int(age * TICKS_PER_SECOND),
            )
            self.assertEqual(made.voting.verdict(), vote, (stage, age))

    def test_a_trials_pod_that_starts_again_is_not_new(self):
        pods = [pod("old-1"), pod("old-2"), pod("new-1", 2, NOW), pod("new-2", 2, NOW)]
        for again, vote in (
            (pod("new-1", 2, NOW + 8 * TICKS_PER_SECOND), Verdict.PROMOTE),
            (pod("new-3", 2, NOW + 8 * TICKS_PER_SECOND), Verdict.ABSTAIN),
        ):
            made = balancer(*pods, told=news())
            made.voting.verdict()
            made.handle(
                NOW + 7 * TICKS_PER_SECOND,
                [
                    EndpointUpdate(
                        UpdateKind.DELTA, (pods[2]._replace(condition=EndpointCondition.GONE),)
                    )
                ],
            )
            made.handle(NOW + 9 * TICKS_PER_SECOND, [EndpointUpdate(UpdateKind.DELTA, (again,))])
            self.assertEqual(made.voting.verdict(), vote)

    def test_one_chance_failure_does_not_bar_a_quiet_vote(self):
        made = balancer(told=news(), votes_to_revert=2)
        made.sequential_test.sums["failed"], made.context.now = 1.0, NOW + 5 * TICKS_PER_SECOND
        self.assertEqual(made.voting.verdict(), Verdict.PROMOTE)

    def test_no_vote_for_on_while_the_list_hides_the_stages_pods(self):
        earlier = [pod(f"old-{n}") for n in range(8)]
        made = balancer(*earlier, pod("new-1", 2), pod("new-2", 2), told=news(stage=2))
        made.context.now += 9 * TICKS_PER_SECOND
        self.assertEqual(made.voting.verdict(), Verdict.ABSTAIN)
        made.handle(made.context.now, [EndpointUpdate(UpdateKind.DELTA, (pod("new-3", 2),))])
        self.assertEqual(made.voting.verdict(), Verdict.PROMOTE)
