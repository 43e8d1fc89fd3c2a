"""Combinations of fault and variant in the policy benchmark, and the design goals."""

import multiprocessing

from benchmarks.policy.run import run_once, summarize
from benchmarks.policy.workloads import FAULTS, WORKLOADS

__all__ = ["PLAIN_FIGURES", "SHOWN_FIGURES", "check_goals", "measure_policy", "table_rows"]

SEEDS = 10
# Run with "calm" and "crash". With the other faults only the two versions of the policy run, as
# those do not affect the baselines, or the run is compared to the calm one.
BASELINE_VARIANTS = ["no_rollouts", "round_robin", "least_outstanding", "first_release", "current"]
WEIGHTINGS = ["weighting_0", "weighting_0.5", "weighting_1"]
# New weights every 30 s: at the default of 120 s few samples span a version change.
FAST_WEIGHTINGS = ["fast_weighting_0", "fast_weighting_0.5", "fast_weighting_1"]
DRIVER_VARIANTS = ["no_retry_budgets", "one_retry_budget", "no_circuit_breaker", "no_not_sent"]
ABLATIONS = [
    "without_load_of_queues",
    "without_wait_in_window",
    "without_expected_cost",
    "without_queue_at_preferred",
    "without_lot_queue",
    "first_window",
    "shared_models",
]
MAX_IDLE_TO_ROUND_ROBIN = 0.6
MAX_IDLE_TO_LIMIT = 1.25
MAX_THROWN_SHARE = 0.08
MAX_LOOKUP_P99_RATIO = 1.3
MIN_FAIR_SHARE = 0.8
SHOWN_FIGURES = [
    "idle_s",
    "wait_s",
    "limit_ratio",
    "over_bound",
    "staleness",
    "thrown",
    "fair",
    "lookup_p99_s",
]
PLAIN_FIGURES = ["plain_p99_s", "plain_attempts", "plain_failures", "plain_unknown"]


def all_rows():
    """Return the (fault, variant) pairs to run for each workload."""
    rows = []
    for fault in FAULTS:
        variants = BASELINE_VARIANTS if fault in ("calm", "crash") else ["first_release", "current"]
        rows += [(fault, variant) for variant in variants]
    rows += [("calm", variant) for variant in WEIGHTINGS + FAST_WEIGHTINGS + ABLATIONS]
    rows += [("crash", variant) for variant in DRIVER_VARIANTS]
    return rows


def measure_policy(processes, seeds=SEEDS):
    """Run all rows in a process pool and return one summary per workload, fault and variant."""
    run_keys = [
        (workload, variant, fault, seed)
        for workload in WORKLOADS
        for fault, variant in all_rows()
        for seed in range(seeds)
    ]
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        runs = dict(zip(run_keys, pool.map(run_once, run_keys, chunksize=2), strict=True))
    summaries = []
    for workload in WORKLOADS:
        for fault, variant in all_rows():
            seed_runs = [runs[workload, variant, fault, seed] for seed in range(seeds)]
            summaries.append(
                {
                    "workload": workload,
                    "fault": fault,
                    "variant": variant,
                    "seeds": seeds,
                    "figures": summarize(seed_runs),
                }
            )
    return summaries


def table_rows(summaries, names=None):
    """Return table rows with the named figures, by default `SHOWN_FIGURES`."""
    return [
        {key: row[key] for key in ("workload", "fault", "variant")}
        | {name: row["figures"][name] for name in names or SHOWN_FIGURES}
        for row in summaries
    ]


def find_figures(summaries, workload, fault, variant):
    """Return the figures of a row; raises `KeyError` if it was not run."""
    for row in summaries:
        if (row["workload"], row["fault"], row["variant"]) == (workload, fault, variant):
            return row["figures"]
    raise KeyError(variant)


def check_goals(summaries):
    """Return the design goals with the measured values and whether they are met.

    Values are medians over the seeds, except for samples over the staleness bound, where the
    worst seed counts. For a fault without baseline runs, the baselines of the calm run are used.
    """
    goals = []
    for workload in WORKLOADS:
        for fault in FAULTS:
            own = find_figures(summaries, workload, fault, "current")
            base = fault if fault == "crash" else "calm"
            baseline = find_figures(summaries, workload, base, "round_robin")
            alone = find_figures(summaries, workload, base, "no_rollouts")
            measured = [
                (
                    "idle time / round robin",
                    own["idle_s"][0] / baseline["idle_s"][0],
                    MAX_IDLE_TO_ROUND_ROBIN,
                ),
                ("idle time / limit", own["limit_ratio"][0], MAX_IDLE_TO_LIMIT),
                ("samples over the bound, worst seed", own["over_bound"][2], 0.0),
                ("thrown-away tokens", own["thrown"][0], MAX_THROWN_SHARE),
                (
                    "lookup p99 / without rollouts",
                    own["lookup_p99_s"][0] / alone["lookup_p99_s"][0],
                    MAX_LOOKUP_P99_RATIO,
                ),
            ]
            for goal, value, bound in measured:
                goals.append(goal_row(workload, fault, goal, value, bound, value <= bound))
            fair = own["fair"][0]
            goals.append(
                goal_row(
                    workload,
                    fault,
                    "least fair share",
                    fair,
                    MIN_FAIR_SHARE,
                    fair >= MIN_FAIR_SHARE,
                )
            )
    return goals


def goal_row(workload, fault, goal, value, bound, met):
    """Return one row of the table of goals."""
    return {
        "workload": workload,
        "fault": fault,
        "goal": goal,
        "measured": value,
        "bound": bound,
        "met": "met" if met else "missed",
    }
