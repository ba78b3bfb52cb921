"""thymeknot's commands, on click. Exit codes: 0 done, 1 nothing found, 2 faulty words or files, 3 nobody answers."""

import os

import click

from ..service.features import VARIABLE
from ..service.required_libraries import LABORATORY, LOAD, libraries_from
from .decision_log_commands import why
from .fleet_commands import fleet
from .key_commands import keys
from .log_commands import logs
from .output import json_line


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
        json_line(
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
        click.echo(json_line(experiments.played((policy, seed, size))))
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
    click.echo(json_line(experiments.crowd_figures(pairs)))


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
    click.echo(json_line(report.written(day, policies, folder, f"{kind}, seed {seed}")))


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
        click.echo(json_line(one))


for command in (why, keys, fleet, logs):
    thymeknot.add_command(command)
