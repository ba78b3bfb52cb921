"""The line that tells those on call of a vote."""


def describe_vote(vote, sums, rates, all_slow, seen):
    """A vote's line for those on call."""
    tests = "".join(f"{what} {sums[what]:+.1f} over {rates[what]:.2f}, " for what in sums)
    return (
        "vote {2} on build {0} stage {1}: ".format(*vote)
        + tests
        + f"all slow {all_slow:+.1f}, {seen} seen"
    )
