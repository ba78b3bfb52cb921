"""Command sequences for the replicated state machines.

Every command is accepted at least once and rejected at least once.
"""

TICKS_PER_SECOND = 10_000  # a tick is 0.1 ms

_POD_NAMES = [f"u{number}" for number in range(8)]
_UNITS = {
    name: {"kind": "pod", "rack": f"r{number // 2}", "zone": "z", "service": "shop"}
    for number, name in enumerate(_POD_NAMES)
}
_BUDGETS = [
    {"name": "racks", "each": "rack", "most": 1},
    {"name": "all", "where": {"zone": "z"}, "least": 5},
]


def _status_update(agreed_time, names, status="ready", build="old", start=0):
    """Returns a `seen` command that reports the same status for these units, with its time."""
    return agreed_time, {
        "do": "seen",
        "as_of": agreed_time,
        "units": {name: [status, start, build] for name in names},
    }


def _release_command(agreed_time, name, **fields):
    """Returns a `release` command in two waves, with its time; `fields` replace its defaults."""
    command = {
        "do": "release",
        "release": name,
        "epoch": 1,
        "where": {"service": "shop"},
        "build": "new",
    }
    return agreed_time, {**command, "earlier": "old", "waves": [0.25, 1.0], **fields}


# Pairs of the agreed time and the command. Fencing tokens are numbered in the order of the grants.
DISRUPTION_COMMANDS = [
    (
        0,
        {
            "do": "declare",
            "epoch": 2,
            "units": _UNITS,
            "budgets": _BUDGETS,
            "terms": {"patience": 100_000},
        },
    ),
    (1, {"do": "declare", "epoch": 1, "units": {}}),
    (2, {"do": "declare", "epoch": 2, "budgets": [{"name": "b", "most": 0}]}),
    (3, {"do": "declare", "epoch": 2, "units": {"u8": {"kind": "train"}}}),
    (4, {"do": "declare", "epoch": 2, "terms": {"bound": 1}}),
    (5, {"do": "declare", "epoch": 2, "gone": ["nobody"]}),
    _status_update(10, _POD_NAMES),
    (11, {"do": "seen", "as_of": 99, "units": {}}),
    (
        12,
        {"do": "seen", "as_of": 12, "units": {"stranger": ["ready", 0, ""], "u1": ["odd", 0, ""]}},
    ),
    (13, {"do": "ready", "unit": "u7", "as_of": 13, "start": 0, "build": "old"}),
    (14, {"do": "ready", "unit": "nobody", "as_of": 14, "start": 0}),
    (20, {"do": "ask", "unit": "u0", "plan": "ann", "epoch": 1, "urgency": 3}),
    (21, {"do": "ask", "unit": "u1", "plan": "ann", "epoch": 1}),
    (22, {"do": "ask", "unit": "u2", "plan": "release:x", "epoch": 1}),
    (23, {"do": "ask", "unit": "u7", "plan": "bob", "epoch": 1, "queue": False}),
    (24, {"do": "ask", "unit": "u6", "plan": "bob", "epoch": 1, "queue": False}),
    (25, {"do": "ask", "unit": "u0", "plan": "bob", "epoch": 1}),
    (26, {"do": "status", "unit": "u1"}),
    (30, {"do": "begin", "unit": "u0", "fence": 9, "epoch": 1, "start": 0}),
    (31, {"do": "begin", "unit": "u0", "fence": 1, "epoch": 1, "start": 5}),
    (32, {"do": "begin", "unit": "u0", "fence": 1, "epoch": 1, "start": 0}),
    (33, {"do": "begin", "unit": "u0", "fence": 1, "epoch": 1, "start": 0}),
    (34, {"do": "out", "unit": "u0", "fence": 1}),
    (35, {"do": "out", "unit": "u1", "fence": 1}),
    (36, {"do": "return", "unit": "u0", "fence": 1, "fault": "the disk is slow"}),
    (37, {"do": "return", "unit": "u3", "fence": 1}),
    _status_update(40, ["u0"], "ready", "old", 1),
    (41, {"do": "cancel", "unit": "u1", "plan": "bob"}),
    (42, {"do": "cancel", "unit": "u1", "plan": "ann", "epoch": 1}),
    (43, {"do": "halt", "by": "ann", "why": "smoke", "where": {"rack": ["r3"]}}),
    (44, {"do": "halt", "by": "ann", "why": "smoke"}),
    (45, {"do": "ask", "unit": "u5", "plan": "ann", "epoch": 2}),
    (46, {"do": "ask", "unit": "u4", "plan": "ann", "epoch": 1}),
    (47, {"do": "resume", "halt": 7}),
    (48, {"do": "resume", "halt": 1}),
    (49, {"do": "back", "plan": "ann", "epoch": 2}),
    (50, {"do": "back"}),
    (51, {"do": "back", "unit": "u6"}),
    _status_update(52, _POD_NAMES[1:]),
    _status_update(53, ["u0"], "ready", "old", 1),
    _release_command(60, "summer", waves=[0.5]),
    _release_command(61, "summer"),
    _release_command(62, "summer"),
    _release_command(63, "autumn"),
    _release_command(64, "autumn", wait=True),
    (65, {"do": "vote", "release": "summer", "epoch": 1, "wave": 3, "verdict": "on"}),
    (66, {"do": "vote", "release": "summer", "epoch": 1, "wave": 0, "verdict": "on"}),
    (67, {"do": "status"}),
    (68, {"do": "halt", "by": "gang", "why": "it trains", "release": "summer", "cause": "gang"}),
    (69, {"do": "tick"}),
    (70, {"do": "resume", "halt": 2}),
    _status_update(71, ["u3"], "gone"),
    (
        72,
        {
            "do": "vote",
            "release": "summer",
            "epoch": 1,
            "wave": 0,
            "verdict": "back",
            "why": "it fails",
        },
    ),
    (73, {"do": "back", "release": "summer", "epoch": 0}),
    (74, {"do": "tick"}),
    (75, {"do": "tick", "part": "gangs"}),
    (76, {"do": "dance"}),
    (77, {"do": "tick", "speed": 3}),
    (78, {"do": "ask", "unit": 3, "plan": "ann", "epoch": 1}),
    (79, ["not", "a", "mapping"]),
    _status_update(20 * TICKS_PER_SECOND, _POD_NAMES),
    (20 * TICKS_PER_SECOND, {"do": "tick"}),
    (21 * TICKS_PER_SECOND, {"do": "status", "where": {"zone": "z"}}),
]


def _make_job(**fields):
    """Returns a job of four workers; `fields` replace its defaults."""
    job = {
        "workers": 4,
        "pattern": "ring",
        "bytes": 10**6,
        "target": TICKS_PER_SECOND,
        "publisher": "p",
    }
    return {**job, "checkpoint": 60 * TICKS_PER_SECOND, **fields}


def _rack_command(rack, zone, slots=4):
    """Returns a `stand` command that adds a rack of two machines."""
    machines = {f"{rack}m{number}": {"slots": slots, "has": {"gpu": 2}} for number in range(2)}
    return {
        "do": "stand",
        "rack": rack,
        "zone": zone,
        "cluster": "c",
        "bandwidth": 10**9,
        "machines": machines,
    }


_FIRST_FENCE = {"gang": "g", "fence": 1}
_HOLD_COMMAND = {"do": "hold", "gang": "g", "places": {"r0m0": 2, "r0m1": 2}}
_MEND_COMMAND = {
    "do": "mend",
    "gang": "g",
    "fence": 1,
    "versions": {"r1": 1},
    "places": {"r0m1": 2, "r1m0": 2},
}
GANG_SCHEDULING_COMMANDS = [
    (1, _rack_command("r0", "z0")),
    (2, _rack_command("r1", "z1")),
    (3, _rack_command("r0", "z0")),
    (4, {"do": "uplink", "of": "cluster/c", "bandwidth": 10**9}),
    (4, {"do": "uplink", "of": "zone/c/z0", "bandwidth": 10**9}),
    (5, {"do": "uplink", "of": "moon", "bandwidth": 10**9}),
    (6, {"do": "share", "publisher": "p", "thousandths": 700}),
    (7, {"do": "share", "publisher": "q", "thousandths": 700}),
    (8, {"do": "planned", "machines": ["r1m1"], "at": 90 * TICKS_PER_SECOND}),
    (9, {"do": "planned", "machines": ["moon"], "at": 1}),
    (10, {"do": "offer", "gang": "g", "job": _make_job(needs={"gpu": 1}, spare=1)}),
    (11, {"do": "offer", "gang": "g", "job": _make_job()}),
    (12, {"do": "offer", "gang": "big", "job": _make_job(workers=17)}),
    (13, {"do": "offer", "gang": "odd", "job": _make_job(pattern="star")}),
    (14, {**_HOLD_COMMAND, "places": {"r0m0": 3}, "versions": {"r0": 1}}),
    (15, {**_HOLD_COMMAND, "versions": {"r1": 1}}),
    (16, {**_HOLD_COMMAND, "versions": {"r0": 9}}),
    (17, {**_HOLD_COMMAND, "versions": {"r0": 1}}),
    (18, {"do": "start", **_FIRST_FENCE}),
    (19, {"do": "bind", "gang": "g", "fence": 8}),
    (20, {"do": "bind", **_FIRST_FENCE}),
    (21, {"do": "start", **_FIRST_FENCE}),
    (22, {"do": "checkpoint", **_FIRST_FENCE}),
    (23, {"do": "lost", "kind": "worker", "name": "r1m0", "gang": "g"}),
    (24, {"do": "drain_asked", "machine": "r0m1", "drain": "d"}),
    (25, {"do": "drain_asked", "machine": "r0m1", "drain": "e"}),
    (26, {"do": "back", "machine": "r0m1"}),
    (27, {"do": "lost", "kind": "machine", "name": "r0m0"}),
    (28, {**_MEND_COMMAND, "versions": {"r1": 7}}),
    (29, {**_MEND_COMMAND, "versions": {"r0": 4, "r1": 2}}),
    (30, {"do": "start", "gang": "g", "fence": 1}),
    (31, {"do": "start", "gang": "g", "fence": 2}),
    (32, {"do": "offer", "gang": "h", "job": _make_job(publisher="q", workers=3, priority=90)}),
    (33, {"do": "preempt", "gang": "g", "by": "h"}),
    (34, {"do": "preempt", "gang": "h", "by": "g"}),
    (35, {"do": "checkpoint", "gang": "g", "fence": 2}),
    (
        36,
        {
            "do": "offer",
            "gang": "i",
            "job": _make_job(pattern="matrix", workers=2, matrix=[[0, 5], [5, 0]]),
        },
    ),
    (37, {"do": "withdraw", "gang": "i"}),
    (38, {"do": "withdraw", "gang": "nobody"}),
    (39, {"do": "lost", "kind": "rack", "name": "r1"}),
    (40, {"do": "back", "machine": "r0m0"}),
    (41, {"do": "done", "gang": "h", "fence": 1}),
    (42, {"do": "dance"}),
    (43, {"do": "tick", "part": "turns"}),
    (44, 17),
    (45, {"do": "offer", "gang": "j", "job": _make_job(workers=2, pattern="tree")}),
    (46, {"do": "hold", "gang": "j", "places": {"r0m0": 2}, "versions": {"r0": 1}}),
    (47, {"do": "hold", "gang": "j", "places": {"r0m0": 2}, "versions": {"r0": 8}}),
    (48, {"do": "bind", "gang": "j", "fence": 3}),
    (49, {"do": "start", "gang": "j", "fence": 3}),
    (50, {"do": "done", "gang": "j", "fence": 3}),
    (50 * TICKS_PER_SECOND, {"do": "tick"}),
    (200 * TICKS_PER_SECOND, {"do": "tick"}),
]
GANG_SCHEDULING_COMMANDS = [
    (agreed_time, {"part": "gangs", **command} if isinstance(command, dict) else command)
    for agreed_time, command in GANG_SCHEDULING_COMMANDS
]
