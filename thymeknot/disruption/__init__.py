"""Disruption budgets that all instances agree on: how many units may be unavailable at once.

The package does no I/O: it reads no clock, socket or disk. Times are in ticks. `at` is the agreed
time of the replicated log; `now` is the monotonic clock of one process.

Modules:
    targets: labels of units, selectors over labels, settings.
    budgets: budgets and their usage.
    permits: a unit, its permit and the evidence that it is ready.
    fleet: all units and the usage of all budgets.
    scheduler: decides which permit requests are granted.
    halts: halts of permit requests and of releases.
    release, rollouts: releases in waves, and their rollbacks.
    plan_epochs: the epochs of plans.
    commands, command_reader: typed commands, and their validation and parsing.
    replies: typed replies, and their encoding.
    declaration, permit_commands, release_commands, status: the handlers of related commands.
    state_machine: the state machine that applies the commands of a replicated log.
    agent, agent_transitions: the client side, which runs on each unit.
    simulated_fleet, simulated_service, simulated_layout: a simulated fleet in virtual time.
    invariant_checker: verifies independently that the invariants hold, such as the budgets.
"""
