"""thymeknot's commands, on click. Exit codes: 0 done, 1 nothing found, 2 faulty words or files, 3 nobody answers."""

import os
import time

import click

from ..service.features import VARIABLE
from ..service.required_libraries import (
    COMMANDS,
    COORDINATION,
    GOSSIP,
    LABORATORY,
    LOAD,
    libraries_from,
)
from .decision_log_client import UnreachableError, lines_of

DURATIONS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--operator",
    metavar="FILE",
    envvar=VARIABLE,
    help="what is switched on beside the configuration",
)
@click.pass_context
def thymeknot(context, operator):
    """Shifts traffic while a service's software is being replaced. Without a command: serve."""
    context.obj = operator
    if context.invoked_subcommand is None:
        context.invoke(serve)


@thymeknot.command()
@click.pass_context
def serve(context):
    """Serves by the configuration at NODE_CONFIG."""
    from ..service import lifecycle

    context.exit(lifecycle.serve(os.environ, context.find_root().obj))


@thymeknot.command()
@click.pass_context
def check(context):
    """Reads the configuration and the operator's file and names every fault."""
    from ..service import configuration, features

    faults = []
    for read in (
        lambda: configuration.load(os.environ, 0),
        lambda: features.Features(context.find_root().obj),
    ):
        try:
            read()
        except (configuration.ConfigurationError, features.FeatureError) as error:
            faults.append(str(error))
    for fault in faults:
        click.echo(fault, err=True)
    if not faults:
        click.echo("both files can be used")
    context.exit(2 if faults else 0)


class IdOrCommand(click.Group):
    """`why ID` beside `why find ...`: what is no command is an id."""

    def resolve_command(self, context, words):
        if words and words[0] not in self.commands and not words[0].startswith("-"):
            return "id", self.commands["id"], words
        return super().resolve_command(context, words)


@thymeknot.group(cls=IdOrCommand)
@click.option(
    "--at",
    "place",
    default="127.0.0.1:6390",
    metavar="ADDRESS",
    envvar="THYMEKNOT_WHY",
    show_default=True,
    help="where an instance answers: host:port or unix:PATH",
)
@click.option(
    "--file",
    "path",
    type=click.Path(exists=True, dir_okay=False),
    help="a record that was left over, instead",
)
@click.option("--json", "plain", is_flag=True, help="lines of JSON")
@click.pass_context
def why(context, place, path, plain):
    """Why a transaction (by ID or key) went where it went; what else is known of the latest ones."""
    context.obj = place, path, plain


@libraries_from(COMMANDS)
def _asked(context, told):
    """Prints what answers, and ends with the code that tells whether anything did."""
    place, path, plain = context.obj
    found = 0
    try:
        for line in lines_of(place, path, told):
            if "error" in line:
                raise click.UsageError(line["error"])
            if "end" in line and "id" not in line:
                if line.get("more"):
                    click.echo("there are more", err=True)
                break
            found += 1
            _show(line, plain)
    except UnreachableError as error:
        click.echo(f"why: {error}", err=True)
        context.exit(3)
    context.exit(0 if found else 1)


def _show(line, plain):
    if plain or "lines" not in line:
        import orjson

        line.pop("lines", None)
        click.echo(orjson.dumps(line, option=0 if plain else orjson.OPT_INDENT_2).decode())
        return
    click.echo(
        time.strftime("%Y-%m-%d %H:%M:%S  ", time.localtime(line["at"])) + "\n".join(line["lines"])
    )


@why.command("id", hidden=True)
@click.argument("name")
@click.pass_context
def by_id(context, name):
    """One transaction, or all with this key."""
    _asked(context, {"ask": "why", "id": name})


def _seconds(context, option, value):
    if value is None:
        return None
    unit = DURATIONS.get(value[-1:])
    try:
        return float(value[:-1] if unit else value) * (unit or 1)
    except ValueError:
        raise click.BadParameter("a time such as 90s, 15m or 2h") from None


def _filters(command):
    for name, told in (
        ("reason", "a reason's name"),
        ("pod", "sent to this pod"),
        ("tenant", "of this tenant"),
        ("lane", "of this lane"),
    ):
        command = click.option(f"--{name}", help=told)(command)
    return command


@why.command()
@_filters
@click.option("--since", callback=_seconds, help="not longer ago than 90s, 15m, 2h")
@click.option("--limit", type=click.IntRange(1, 10_000), default=50, show_default=True)
@click.pass_context
def find(context, **told):
    """The latest that fit all that is told."""
    _asked(
        context,
        {"ask": "find", **{name: value for name, value in told.items() if value is not None}},
    )


@why.command()
@click.pass_context
def tally(context):
    """Sums over all that ever was: ends, reasons, times, who is turned away most."""
    _asked(context, {"ask": "tally"})


@why.command()
@click.pass_context
def kept(context):
    """What is kept, and for how long at the present rates."""
    _asked(context, {"ask": "kept"})


@why.command()
@_filters
@click.pass_context
def watch(context, **told):
    """Entries as they are made, until interrupted."""
    _asked(
        context,
        {"ask": "watch", **{name: value for name, value in told.items() if value is not None}},
    )


@thymeknot.group()
def keys():
    """Keys of gossip's ring."""


@keys.command("new")
@click.argument("name")
@click.argument("file", type=click.Path())
@click.pass_context
@libraries_from(GOSSIP)
def keys_new(context, name, file):
    """Makes a key and prints its record for the ring."""
    from ..gossip import keys as ring

    context.exit(ring.main(["new", name, file]))


@keys.command("show")
@click.argument("name")
@click.argument("file", type=click.Path(exists=True))
@click.pass_context
@libraries_from(GOSSIP)
def keys_show(context, name, file):
    """Prints the record of a key there is."""
    from ..gossip import keys as ring

    context.exit(ring.main(["show", name, file]))


@thymeknot.group()
@click.option("--json", "plain", is_flag=True, help="the reply as one line of JSON")
@click.option(
    "--within",
    default=10.0,
    show_default=True,
    type=click.FloatRange(0.1, 600),
    help="seconds to wait",
)
@click.pass_context
def fleet(context, plain, within):
    """Who may go out, agreed by all. The operator's file says where the keepers are and who asks."""
    context.obj = context.find_root().obj, plain, within


@libraries_from(COORDINATION)
def _agreed(context, read=False, **command):
    """Exit codes: 0 done, 1 refused, 2 faulty words or files, 3 no keeper answers."""
    from . import coordination_commands as words

    path, plain, within = context.obj
    try:
        code, reply = words.send(
            path,
            {name: value for name, value in command.items() if value is not None},
            read,
            within,
        )
    except words.CoordinationCommandError as error:
        raise click.UsageError(str(error)) from None
    for line in [_json(reply)] if plain else words.reply_lines(reply):
        click.echo(line, err=code != 0 and not plain)
    context.exit(code)


@fleet.command("status")
@click.option("--unit", help="of one alone")
@click.pass_context
def fleet_status(context, unit):
    """Who is out, by which budget, and what is halted."""
    _agreed(context, True, do="status", unit=unit)


@fleet.command("drain")
@click.argument("unit")
@click.option("--urgency", default=0, show_default=True, type=click.IntRange(0, 9))
@click.option(
    "--wait/--now", default=True, show_default=True, help="whether to queue where nothing fits"
)
@click.option(
    "--epoch", default=1, show_default=True, type=click.IntRange(0), help="an older one is refused"
)
@click.pass_context
def fleet_drain(context, unit, urgency, wait, epoch):
    """Asks that a unit goes out; it does when its budgets have room."""
    _agreed(
        context, do="ask", unit=unit, plan=f"drain:{unit}", epoch=epoch, urgency=urgency, queue=wait
    )


@fleet.command("back")
@click.argument("unit")
@click.pass_context
def fleet_back(context, unit):
    """Brings a unit back, or takes back that it was asked to go."""
    _agreed(context, do="back", unit=unit)


@fleet.command("halt")
@click.argument("why")
@click.option("--zone", help="there alone; else everywhere")
@click.pass_context
def fleet_halt(context, why, zone):
    """Lets nothing more go out, for a reason given in words."""
    import getpass

    _agreed(context, do="halt", by=getpass.getuser(), why=why, where={"zone": zone} if zone else {})


@fleet.command("resume")
@click.argument("halt", type=int)
@click.pass_context
def fleet_resume(context, halt):
    """Ends the halt of this number."""
    _agreed(context, do="resume", halt=halt)


@thymeknot.command()
@click.argument("files", nargs=-1, required=True, type=click.File("rb"))
@click.option(
    "--every",
    default=5.0,
    show_default=True,
    type=click.FloatRange(0.1),
    help="seconds of a stretch",
)
@click.option("--json", "plain", is_flag=True, help="lines of JSON")
def logs(files, every, plain):
    """What the logs of a fleet say together: a FILE for each sidecar."""
    from .log_summary import Summary

    summary = Summary(every)
    for source in files:
        for line in source:
            summary.feed(source.name, line)
    for at, counts in summary.stretches():
        _show({"at": at, **counts}, plain)
    _show(summary.figures(), plain)


@thymeknot.command()
@click.option(
    "--at",
    "place",
    default="127.0.0.1:6379",
    metavar="ADDRESS",
    show_default=True,
    help="a sidecar",
)
@click.option(
    "--rate",
    default=100.0,
    show_default=True,
    type=click.FloatRange(0.01),
    help="requests a second; of a ramp, the first",
)
@click.option(
    "--seconds", default=10, show_default=True, type=click.IntRange(1, 3600), help="of a stretch"
)
@click.option(
    "--lane",
    "lanes",
    multiple=True,
    default=("read=1",),
    show_default=True,
    metavar="NAME=SHARE[,KIND]",
    help="read, write or marked; again for each lane",
)
@click.option(
    "--lines",
    default=64,
    show_default=True,
    type=click.IntRange(1, 20_000),
    help="connections at most",
)
@click.option("--patience", default=2.0, show_default=True, help="seconds that a client waits")
@click.option("--goal-ms", default=50.0, show_default=True, help="of the quantile")
@click.option("--quantile", default=0.99, show_default=True, type=click.FloatRange(0.5, 0.9999))
@click.option("--not-done", default=0.01, show_default=True, help="share that may end otherwise")
@click.option(
    "--ramp", is_flag=True, help="climb until the goal fails; tells the highest rate held"
)
@click.option("--seed", default=1, show_default=True)
@click.option("--protocol", default="resp2", show_default=True, type=click.Choice(["resp2"]))
@click.pass_context
@libraries_from(LOAD)
def load(
    context,
    place,
    rate,
    seconds,
    lanes,
    lines,
    patience,
    goal_ms,
    quantile,
    not_done,
    ramp,
    seed,
    protocol,
):
    """Sends at its own times whatever the answers do. Latencies count from when a request was due."""
    from ..load_generator import run, schedule

    host, _, port = place.rpartition(":")
    try:
        told = [schedule.lane(one) for one in lanes]
        if not port.isdigit():
            raise schedule.ScheduleError(f"{place}: HOST:PORT")
    except schedule.ScheduleError as error:
        raise click.UsageError(str(error)) from None
    goal = schedule.Goal(quantile, int(goal_ms * 10), not_done)
    climbing = schedule.Ramp(rate) if ramp else None
    found = run.stretches(
        host,
        int(port),
        {"seed": seed, "rate": rate, "seconds": seconds, "lanes": told, "keys": 10_000},
        goal,
        lambda line: click.echo(line, err=True),
        lines,
        int(patience * schedule.TICKS_PER_SECOND),
        protocol,
        climbing,
    )
    last = found[-1][3].figures(seconds)
    click.echo(
        _json(
            {
                "verdict": found[-1][1],
                "why": found[-1][2],
                **last,
                **(
                    {"held_per_s": round(climbing.held, 1), "held_until": climbing.why}
                    if climbing
                    else {}
                ),
            }
        )
    )
    context.exit(0 if climbing or found[-1][1] == schedule.HELD else 1)


@thymeknot.group()
def lab():
    """The laboratory: fleets and their failures in simulated time."""


def _size(command):
    for name, default, told in (
        ("seconds", 40, "of the day"),
        ("rate", 400.0, "transactions a second"),
        ("pods", 24, "pods"),
        ("instances", 40, "sidecars"),
    ):
        command = click.option(f"--{name}", default=default, show_default=True, help=told)(command)
    command = click.option("--seed", default=1, show_default=True, help="the first day's")(command)
    return command


@lab.command("run")
@_size
@click.option(
    "--policy", default="now", show_default=True, help="now, at:REVISION, random, turns, ..."
)
@libraries_from(LABORATORY)
def lab_run(seed, policy, **size):
    """Plays one day and prints its figures."""
    from ..simulation import experiments

    try:
        click.echo(_json(experiments.played((policy, seed, size))))
    except experiments.UnknownPolicyError as error:
        raise click.UsageError(str(error)) from None


@lab.command("compare")
@click.argument("one")
@click.argument("two")
@_size
@click.option("--days", default=8, show_default=True)
@click.option("--workers", default=os.cpu_count() or 1, show_default="all cores")
@click.option(
    "--keep", type=click.Path(), help="a file of results; one that stands there is gone on with"
)
@libraries_from(LABORATORY)
def lab_compare(one, two, seed, days, workers, keep, **size):
    """Two policies on the same days: the difference with its interval, and the least that could be seen."""
    from ..simulation import experiments

    with click.progressbar(
        length=2 * days, label="days", file=click.get_text_stream("stderr")
    ) as bar:
        try:
            found, broken, _ = experiments.compared(
                one,
                two,
                range(seed, seed + days),
                size,
                workers,
                keep,
                lambda done, count: bar.update(done - bar.pos),
            )
        except experiments.UnknownPolicyError as error:
            raise click.UsageError(str(error)) from None
    for name, gap in found.items():
        click.echo(
            f"{name:10} {one} - {two}: {gap.mean:+.4f}  [{gap.low:+.4f}, {gap.high:+.4f}]  "
            f"least seen {gap.least:.4f}, {gap.pairs} days"
        )
    click.echo(f"rules broken: {broken or 'none'}")


@lab.command("fleet")
@click.argument("one")
@click.argument("two")
@click.option(
    "--kinds",
    default="herd,zone",
    show_default=True,
    help="of calm, roll, herd, zone, split, join, overload",
)
@click.option("--days", default=4, show_default=True, help="of each kind")
@click.option("--instances", default=60, show_default=True)
@click.option("--pods", default=36, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--workers", default=os.cpu_count() or 1, show_default="all cores")
@libraries_from(LABORATORY)
def lab_fleet(one, two, kinds, days, instances, pods, seed, workers):
    """Two policies on the same days of a whole fleet: two less one with its interval."""
    from ..simulation import experiments

    kinds = _kinds(kinds)
    with click.progressbar(
        length=2 * days * len(kinds), label="days", file=click.get_text_stream("stderr")
    ) as bar:
        try:
            pairs = experiments.crowds_compared(
                one,
                two,
                kinds,
                range(seed, seed + days),
                {"instances": instances, "pods": pods},
                workers,
                lambda done, count: bar.update(done - bar.pos),
            )
        except experiments.UnknownPolicyError as error:
            raise click.UsageError(str(error)) from None
    click.echo(_json(experiments.crowd_figures(pairs)))


def _kinds(text):
    from ..simulation import large_fleet_scenarios

    wrong = [kind for kind in text.split(",") if kind not in large_fleet_scenarios.KINDS]
    if wrong:
        raise click.UsageError(
            f"{', '.join(wrong)}: none of {', '.join(large_fleet_scenarios.KINDS)}"
        )
    return text.split(",")


@lab.command("report")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--kind", default="herd", show_default=True)
@click.option(
    "--policy", "names", multiple=True, default=("now",), show_default=True, help="again for each"
)
@click.option("--instances", default=60, show_default=True)
@click.option("--pods", default=36, show_default=True)
@click.option("--seed", default=1, show_default=True)
@libraries_from(LABORATORY)
def lab_report(folder, kind, names, instances, pods, seed):
    """A page with pictures of one day of a fleet, played with each policy, in FOLDER."""
    from ..simulation import experiments, large_fleet_scenarios

    _kinds(kind)
    from ..simulation import report

    try:
        policies = {name: experiments.policy(name) for name in names}
    except experiments.UnknownPolicyError as error:
        raise click.UsageError(str(error)) from None
    day, _ = large_fleet_scenarios.drawn(seed, kind, instances=instances, pods=pods)
    click.echo(_json(report.written(day, policies, folder, f"{kind}, seed {seed}")))


@lab.command("search")
@_size
@click.option("--days", default=24, show_default=True)
@click.option("--against", default="random", show_default=True)
@libraries_from(LABORATORY)
def lab_search(seed, days, against, **size):
    """The days on which the module does worst beside another policy, shrunk to what matters."""
    from ..simulation import experiments

    for one in experiments.searched(
        "now", range(seed, seed + days), size, os.cpu_count() or 1, against
    ):
        click.echo(_json(one))


def _json(value):
    import orjson

    return orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS).decode()
