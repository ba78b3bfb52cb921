"""Disruption budgets, agreed on by all instances: which units may be unavailable at once.

Pure code: no clock, socket or disk. Times are ticks; `at` is agreed time, `now` the monotonic clock
of one process.

Modules:
    targets: units' labels, selectors over them, settings.
    budgets: budgets and their usage.
    permits: a unit, its permit and the evidence of its readiness.
    fleet: all units and the usage of all budgets.
    scheduler: which requests for permits are granted.
    halts: what stops requests and releases.
    release, rollouts: releases in waves, and their rollbacks.
    plan_epochs: the epochs of plans.
    commands, replies: the typed forms of commands and replies, and how they are read and written.
    declaration, release_commands, status: the longer commands.
    state_machine: all of these, changed by the commands of a replicated log.
    agent: the unit's own side.
    simulated_fleet: a fleet in virtual time.
    invariant_checker: checks from outside that no budget is exceeded.
"""
