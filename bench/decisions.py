"""Queueing and routing compared with baselines, on simulated engines in virtual time.

    python -m bench.decisions examples/bench-kettu.yaml [--seeds 5] [--scenario load-120] ...

All policies receive the same programs in one run.  The report is written to ``bench/results`` as
JSON, and printed as a table.  Wasted cache has two measures: the share of prompt tokens that were
read again although an engine had them cached, and the token-seconds cached for ended programs.
"""

import argparse
import json
import statistics
import time
from pathlib import Path

from bench.outcome import ProgramResult, RunResult, Scenario
from bench.policies import POLICIES
from bench.simulate import Run
from bench.workload import ClassPlan, Workload
from waxwingglade.settings import parse_settings, read_yaml

RESULTS = Path(__file__).parent / "results"

SCENARIOS = {
    "calm": Scenario(0.3),
    "load-80": Scenario(0.8),
    "load-120": Scenario(1.2),
    "slow-engine": Scenario(0.8, slow_engine=True),
    "lost-engine": Scenario(0.8, lost_engine=True),
}

PERCENTS = (50, 95, 99)
DECISION_PERCENTS = (50, 99)


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile by rank, or 0 if there are no values."""
    ranked = sorted(values)
    if not ranked:
        return 0.0
    return ranked[min(len(ranked) - 1, len(ranked) * percent // 100)]


def latency_of(program: ProgramResult, class_plan: ClassPlan) -> float:
    """Return the latency of a program in seconds, at least its deadline if it failed."""
    return program.latency_s if program.finished else max(program.latency_s, class_plan.deadline_s)


def class_report(class_plan: ClassPlan, runs: list[RunResult]) -> dict:
    """Return the results of one class, over all seeds and by seed."""
    by_seed = [[p for p in run.programs if p.program_class == class_plan.name] for run in runs]
    programs = [program for each in by_seed for program in each]
    latencies = [latency_of(program, class_plan) for program in programs]
    p95 = [percentile([latency_of(p, class_plan) for p in each], 95) for each in by_seed]
    return {
        "urgency": class_plan.urgency.value,
        "programs": len(programs),
        "finished": sum(program.finished for program in programs),
        "late": sum(latency > class_plan.deadline_s for latency in latencies),
        "refusals": sum(program.refusals for program in programs),
        **{f"p{percent}_s": percentile(latencies, percent) for percent in PERCENTS},
        "p95_s_by_seed": p95,
        "p95_s_spread": statistics.pstdev(p95),
    }


def policy_report(workload: Workload, runs: list[RunResult], elapsed_s: float) -> dict:
    """Return the results of one policy in one scenario."""
    prompt_tokens = sum(run.prompt_tokens for run in runs)
    wasted_shares = [run.wasted_tokens / max(1, run.prompt_tokens) for run in runs]
    decisions = [us for run in runs for us in run.decision_us]
    return {
        "classes": {
            class_plan.name: class_report(class_plan, runs) for class_plan in workload.classes
        },
        "prompt_tokens": prompt_tokens,
        "wasted_share": sum(run.wasted_tokens for run in runs) / max(1, prompt_tokens),
        "wasted_share_spread": statistics.pstdev(wasted_shares),
        "ended_token_seconds": sum(run.ended_token_s for run in runs),
        "decision_us": {f"p{q}": percentile(decisions, q) for q in DECISION_PERCENTS},
        "run_s": elapsed_s,
    }


def run_scenario(workload: Workload, scenario: Scenario, seeds: int) -> dict[str, dict]:
    """Run every policy with all seeds and return their reports."""
    reports = {}
    for name, policy in POLICIES.items():
        started_at = time.monotonic()
        runs = [Run(workload, scenario, policy, seed).execute() for seed in range(seeds)]
        reports[name] = policy_report(workload, runs, time.monotonic() - started_at)
    return reports


def print_table(scenario: str, reports: dict[str, dict]) -> None:
    """Print the reports of a scenario, one line for each policy and class."""
    print(f"\n{scenario}")
    print(
        "policy         class         urgency    n  finished  p50 s  p95 s  p99 s "
        " wasted  ended Mts"
    )
    for policy, report in reports.items():
        waste = f"{report['wasted_share']:7.4f} {report['ended_token_seconds'] / 1e6:9.2f}"
        for name, class_line in report["classes"].items():
            finished = class_line["finished"] / max(1, class_line["programs"])
            times = " ".join(f"{class_line[f'p{percent}_s']:6.1f}" for percent in PERCENTS)
            print(
                f"{policy:14} {name:13} {class_line['urgency']:8} {class_line['programs']:4d}"
                f"  {finished:8.3f} {times} {waste}"
            )


def main() -> None:
    """Run the scenarios, print tables and write the report."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("workload", type=Path)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--scenario", action="append", choices=SCENARIOS)
    arguments = parser.parse_args()
    workload = parse_settings(read_yaml(arguments.workload), Workload, str(arguments.workload))
    names = arguments.scenario or list(SCENARIOS)
    report = {}
    for name in names:
        report[name] = run_scenario(workload, SCENARIOS[name], arguments.seeds)
        print_table(name, report[name])
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"decisions-{arguments.workload.stem}-{'-'.join(names)}.json"
    data = {"firm": workload.firm, "seeds": arguments.seeds, "scenarios": report}
    path.write_text(json.dumps(data, indent=1) + "\n")


if __name__ == "__main__":
    main()
