#!/usr/bin/env python3
"""Where the worth of days was lost, as a table in Markdown.

    tools/losses.py REPORT.json... [--logs LOG...]

A report is what the users' bench writes with `--report`; a log is what it prints with `--log`. With
logs of a day, refusals and broken streams are counted by the gateways' own reasons.
"""

import argparse
import json
import re
from collections import Counter, defaultdict
from pathlib import Path

# A window with a smaller share of its worth is shown, with what was happening in it.
POOR_WINDOW = 0.6
# Length of a window of a report, in seconds.
WINDOW_S = 2.0
# Reasons and prices that are shown.
MOST_SHOWN = 6

ENDED = re.compile(r'^\s*(-?[\d.]+) (\S+) .*caller: Ended\..*outcome="(\w+)".*reason="([^"]*)"')


def parts(report):
    """Worth lost by part of the score, and by prices."""
    lost = [(name, weight * (1 - share)) for name, weight, share in report["parts"]]
    lost.append(("prices", sum(cost for _, _, cost in report["prices"])))
    return lost


def happening(report, at_s):
    """What went on in a window."""
    end_s = at_s + WINDOW_S
    on = [e for e in report["events"] if e["at_s"] < end_s and e["to_s"] > at_s]
    return ", ".join(event["kind"] for event in on)


def print_parts(reports):
    names = [name for name, _ in parts(next(iter(reports.values())))]
    print("| day | worth | " + " | ".join(f"lost by {name}" for name in names) + " |")
    print("|---" * (len(names) + 2) + "|")
    for day, report in reports.items():
        lost = " | ".join(f"{cost:.3f}" for _, cost in parts(report))
        print(f"| {day} | {report['G']:.3f} | {lost} |")


def print_kinds(reports):
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
            on = happening(report, float(window["name"]))
            print(f"| {day} | {window['name']} | {window['worth']:.2f} | {counts} | {on} |")


def print_prices(reports):
    total = defaultdict(float)
    for report in reports.values():
        for name, _, cost in report["prices"]:
            total[name] += cost / len(reports)
    print("\n| price | mean of the days |\n|---|---|")
    for name, cost in sorted(total.items(), key=lambda item: -item[1])[:MOST_SHOWN]:
        print(f"| {name} | {cost:.4f} |")


def print_unserved(reports):
    last = Counter()
    for report in reports.values():
        for how, count, _ in report["unserved_by"]:
            last[how] += count
    print("\n| last try of requests that were not served | requests |\n|---|---|")
    for how, count in last.most_common():
        print(f"| {how} | {count} |")


def print_reasons(logs):
    reasons = Counter()
    for log in logs:
        for line in log.open(errors="replace"):
            found = ENDED.match(line)
            if found and found[3] in ("refused", "failed", "broken_off"):
                reasons[(found[3], found[4])] += 1
    print("\n| outcome | the gateway's reason | requests |\n|---|---|---|")
    for (outcome, reason), count in reasons.most_common(MOST_SHOWN):
        print(f"| {outcome} | {reason} | {count} |")


def main():
    arguments = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    arguments.add_argument("reports", nargs="+", type=Path)
    arguments.add_argument("--logs", nargs="*", type=Path, default=[])
    given = arguments.parse_args()
    reports = {path.stem: json.loads(path.read_text()) for path in given.reports}
    for table in (print_parts, print_kinds, print_windows, print_unserved, print_prices):
        table(reports)
    if given.logs:
        print_reasons(given.logs)


if __name__ == "__main__":
    main()
