#!/usr/bin/env python3
"""Prints where days of the users' bench lost worth, as Markdown tables.

    tools/losses.py REPORT.json... [--logs LOG...]

A report is the file that the users' bench writes with `--report`; a log is its output with `--log`.
If logs are given, refused, failed and broken-off requests are counted by the gateways' reasons.
"""

import argparse
import json
import re
from collections import Counter, defaultdict
from pathlib import Path

# Windows with a smaller share of their worth are printed, with the events active in them.
POOR_WINDOW = 0.6
# Length of a window of a report, in seconds.
WINDOW_S = 2.0
# Maximum number of reasons and of prices that are printed.
MAX_ROWS = 6

REQUEST_ENDED = re.compile(r'^\s*(-?[\d.]+) (\S+) .*caller: Ended\..*outcome="(\w+)".*reason="([^"]*)"')


def lost_worth(report):
    """Returns the worth lost by each part of the score and by prices."""
    lost = [(name, weight * (1 - share)) for name, weight, share in report["parts"]]
    lost.append(("prices", sum(cost for _, _, cost in report["prices"])))
    return lost


def active_events(report, at_s):
    """Returns the kinds of the events that were active in a window."""
    end_s = at_s + WINDOW_S
    active = [e for e in report["events"] if e["at_s"] < end_s and e["to_s"] > at_s]
    return ", ".join(event["kind"] for event in active)


def print_lost_worth(reports):
    names = [name for name, _ in lost_worth(next(iter(reports.values())))]
    print("| day | worth | " + " | ".join(f"lost by {name}" for name in names) + " |")
    print("|---" * (len(names) + 2) + "|")
    for day, report in reports.items():
        lost = " | ".join(f"{cost:.3f}" for _, cost in lost_worth(report))
        print(f"| {day} | {report['G']:.3f} | {lost} |")


def print_request_kinds(reports):
    print("\n| day | kind of request | owed | in time | late | refused | failed | worth |")
    print("|---|---|---|---|---|---|---|---|")
    for day, report in reports.items():
        for kind in report["classes"]:
            owed = kind["n"] - kind["not_owed"]
            counts = [kind[name] for name in ("in_aim", "late", "refused", "failed")]
            columns = " | ".join(str(count) for count in [owed, *counts])
            print(f"| {day} | {kind['name']} | {columns} | {kind['worth']:.2f} |")


def print_windows(reports):
    print("\n| day | from second | worth | late | refused | failed | happening |")
    print("|---|---|---|---|---|---|---|")
    for day, report in reports.items():
        for window in report["windows"]:
            if window["worth"] is None or window["worth"] >= POOR_WINDOW:
                continue
            counts = " | ".join(str(window[name]) for name in ("late", "refused", "failed"))
            kinds = active_events(report, float(window["name"]))
            print(f"| {day} | {window['name']} | {window['worth']:.2f} | {counts} | {kinds} |")


def print_prices(reports):
    total = defaultdict(float)
    for report in reports.values():
        for name, _, cost in report["prices"]:
            total[name] += cost / len(reports)
    print("\n| price | mean of the days |\n|---|---|")
    for name, cost in sorted(total.items(), key=lambda item: -item[1])[:MAX_ROWS]:
        print(f"| {name} | {cost:.4f} |")


def print_unserved(reports):
    last = Counter()
    for report in reports.values():
        for last_try, count, _ in report["unserved_by"]:
            last[last_try] += count
    print("\n| last try of requests that were not served | requests |\n|---|---|")
    for last_try, count in last.most_common():
        print(f"| {last_try} | {count} |")


def print_reasons(logs):
    reasons = Counter()
    for log in logs:
        for line in log.open(errors="replace"):
            match = REQUEST_ENDED.match(line)
            if match and match[3] in ("refused", "failed", "broken_off"):
                reasons[(match[3], match[4])] += 1
    print("\n| outcome | the gateway's reason | requests |\n|---|---|---|")
    for (outcome, reason), count in reasons.most_common(MAX_ROWS):
        print(f"| {outcome} | {reason} | {count} |")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("reports", nargs="+", type=Path)
    parser.add_argument("--logs", nargs="*", type=Path, default=[])
    arguments = parser.parse_args()
    reports = {path.stem: json.loads(path.read_text()) for path in arguments.reports}
    for table in (print_lost_worth, print_request_kinds, print_windows, print_unserved, print_prices):
        table(reports)
    if arguments.logs:
        print_reasons(arguments.logs)


if __name__ == "__main__":
    main()
