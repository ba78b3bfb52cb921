"""Who may go out, agreed by all: units, budgets, permits, waves, halts and ways back. Pure: no clock, socket or disk.

`units` (labels and selectors), `budgets` (rooms of what may be out at once), `state` (a unit's life), `planner` (who is
granted), `halts` (what stops), `releases` (waves and ways back), `machine` (all of these by commands), `holder` (the
unit's own side), `world` (a fleet in virtual time), `outside` (a checker that looks at who serves). Times are whole
tenths of a millisecond; `at` is agreed time, `now` a process' own monotonic clock.
"""
