"""Gangs of workers placed by rack, all or none.

Pure: no I/O, no clock, no random numbers of its own.

`jobs` says what a gang asks for, `topology` where workers can run, `placement_score` what a
placement is worth and why, `placement_search` finds one, and `worker_replacement` a new one for a
gang that lost workers. `commands` and `gang_state` are the log's commands and the replicated state,
`gang_lifecycle` and `fairness` its rules, and `state_machine` is what the log is applied to. The
search runs beside the log: it proposes a placement, and the state machine accepts or rejects it.
"""
