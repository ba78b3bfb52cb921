"""Gang scheduling: all workers of a gang are placed at once, or none is.

This package does no I/O, reads no clock and draws no random numbers of its own.

`jobs` defines what a gang asks for, `topology` the machines and links, `placement_score` the cost
of a placement with its explanation, `placement_search` the search for a placement, and
`worker_replacement` the search for a new placement after a gang lost workers. `commands` defines
the commands in the replicated log and `gang_state` the replicated state; `gang_lifecycle` and
`fairness` hold the rules, and `state_machine` applies the log. The search runs outside the log: a
scheduler proposes a placement, and the state machine accepts or rejects it.
"""
