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
    commands, command_reader: the typed form of commands, and how they are read.
    replies: the typed form of replies, and how they are written.
    declaration, permit_commands, release_commands, status: what groups of commands do.
    state_machine: all of these, changed by the commands of a replicated log.
    agent, agent_transitions: the unit's own side.
    simulated_fleet, simulated_service, simulated_layout: a fleet in virtual time.
    invariant_checker: checks from outside that no budget is exceeded.
"""
