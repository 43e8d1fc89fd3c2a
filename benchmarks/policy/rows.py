"""Rows of the policy benchmark, and the goals of the design."""

import multiprocessing

from benchmarks.policy.run import run_once, summarize
from benchmarks.policy.workloads import FAULTS, WORKLOADS

__all__ = ["PLAIN", "SHOWN", "check_goals", "measure_policy", "table_rows"]

SEEDS = 10
# These variants do not depend on the other faults, or are compared to the calm run.
FULL = ["no_rollouts", "round_robin", "least_outstanding", "first_release", "current"]
WEIGHTINGS = ["weighting_0", "weighting_0.5", "weighting_1"]
# Weights every 30 s, since few samples span a version change at two minutes.
FAST_WEIGHTINGS = ["fast_weighting_0", "fast_weighting_0.5", "fast_weighting_1"]
DRIVER_IDEAS = ["no_retry_budgets", "one_retry_budget", "no_circuit_breaker", "no_not_sent"]
ABLATIONS = [
    "without_load_of_queues",
    "without_wait_in_window",
    "without_expected_cost",
    "without_queue_at_preferred",
    "without_lot_queue",
    "first_window",
    "shared_models",
]
IDLE_BELOW_ROUND_ROBIN = 0.6
IDLE_TO_LIMIT = 1.25
THROWN = 0.08
LOOKUP_P99 = 1.3
FAIR = 0.8
SHOWN = [
    "idle_s",
    "wait_s",
    "limit_ratio",
    "over_bound",
    "staleness",
    "thrown",
    "fair",
    "lookup_p99_s",
]
PLAIN = ["plain_p99_s", "plain_attempts", "plain_failures", "plain_unknown"]


def all_rows():
    """Return the (fault, variant) of every row."""
    rows = []
    for fault in FAULTS:
        variants = FULL if fault in ("calm", "crash") else ["first_release", "current"]
        rows += [(fault, variant) for variant in variants]
    rows += [("calm", variant) for variant in WEIGHTINGS + FAST_WEIGHTINGS + ABLATIONS]
    rows += [("crash", variant) for variant in DRIVER_IDEAS]
    return rows


def measure_policy(processes, seeds=SEEDS):
    """Run all rows and return their summaries by workload, fault and variant."""
    jobs = [
        (workload, variant, fault, seed)
        for workload in WORKLOADS
        for fault, variant in all_rows()
        for seed in range(seeds)
    ]
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        runs = dict(zip(jobs, pool.map(run_once, jobs, chunksize=2), strict=True))
    summaries = []
    for workload in WORKLOADS:
        for fault, variant in all_rows():
            found = [runs[workload, variant, fault, seed] for seed in range(seeds)]
            summaries.append(
                {
                    "workload": workload,
                    "fault": fault,
                    "variant": variant,
                    "seeds": seeds,
                    "figures": summarize(found),
                }
            )
    return summaries


def table_rows(summaries, names=None):
    """Return the rows of a table."""
    return [
        {key: row[key] for key in ("workload", "fault", "variant")}
        | {name: row["figures"][name] for name in names or SHOWN}
        for row in summaries
    ]


def find(summaries, workload, fault, variant):
    """Return the figures of a row."""
    for row in summaries:
        if (row["workload"], row["fault"], row["variant"]) == (workload, fault, variant):
            return row["figures"]
    raise KeyError(variant)


def check_goals(summaries):
    """Return the goals of the design with what was measured, median over the seeds.

    A baseline that was not run with a fault is taken from the calm row.
    """
    goals = []
    for workload in WORKLOADS:
        for fault in FAULTS:
            own = find(summaries, workload, fault, "current")
            base = fault if fault == "crash" else "calm"
            baseline = find(summaries, workload, base, "round_robin")
            alone = find(summaries, workload, base, "no_rollouts")
            measured = [
                (
                    "idle time / round robin",
                    own["idle_s"][0] / baseline["idle_s"][0],
                    IDLE_BELOW_ROUND_ROBIN,
                ),
                ("idle time / limit", own["limit_ratio"][0], IDLE_TO_LIMIT),
                ("samples over the bound, worst seed", own["over_bound"][2], 0.0),
                ("thrown-away tokens", own["thrown"][0], THROWN),
                (
                    "lookup p99 / without rollouts",
                    own["lookup_p99_s"][0] / alone["lookup_p99_s"][0],
                    LOOKUP_P99,
                ),
            ]
            for goal, value, bound in measured:
                goals.append(entry(workload, fault, goal, value, bound, value <= bound))
            fair = own["fair"][0]
            goals.append(entry(workload, fault, "least fair share", fair, FAIR, fair >= FAIR))
    return goals


def entry(workload, fault, goal, value, bound, met):
    """Return one row of the table of goals."""
    return {
        "workload": workload,
        "fault": fault,
        "goal": goal,
        "measured": value,
        "bound": bound,
        "met": "met" if met else "missed",
    }
