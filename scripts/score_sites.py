#!/usr/bin/env python3
"""Scores the current sites one after the other and compares each day's worth with the last entry of the journal.

The environment variable FLEETBENCH holds the path of the users' bench.
Usage: FLEETBENCH=PATH scripts/score_sites.py [--quick] [--jobs N] --why TEXT SITE.toml...
Exits with 1 if a gate failed or a day lost more than 0.03 of worth.
"""
import argparse
import os
import re
import subprocess
import sys
from pathlib import Path

MAX_DROP = 0.03  # of worth; smaller changes are within the noise that the bench states
BASELINE = Path(__file__).resolve().parent.parent / "journal" / "worth.tsv"
DAY_LINE = re.compile(r"^(\S+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)\s")


def read_baseline():
    """Returns the last accepted worth by (site, day)."""
    if not BASELINE.exists():
        return {}
    rows = (line.split("\t") for line in BASELINE.read_text().splitlines() if line)
    return {(site, day): float(worth) for site, day, worth in rows}


def score(site, arguments):
    """Plays one site; returns whether its gate passed and the worth by day."""
    command = [os.environ["FLEETBENCH"], "score", str(site), "--jobs", str(arguments.jobs), "--why", arguments.why]
    if arguments.quick:
        command.append("--quick")
    output = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False).stdout
    days = {}
    for line in output.splitlines():
        if match := DAY_LINE.match(line):
            days[match[1]] = float(match[2])
    print(output, flush=True)
    return "GATE passed" in output, days


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--quick", action="store_true", help="only the light days")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--why", required=True, help="reason for the run, kept in the journal")
    parser.add_argument("--accept", action="store_true", help="keep the new figures for the next comparison")
    arguments = parser.parse_args()
    baseline = read_baseline()
    failures = []
    for site in arguments.sites:
        passed, days = score(site, arguments)
        if not passed:
            failures.append(f"{site.stem}: gate failed")
        for day, worth in days.items():
            if day.startswith("fresh"):
                continue
            before = baseline.get((site.stem, day))
            if before is not None and worth < before - MAX_DROP:
                failures.append(f"{site.stem} {day}: worth {before:.3f} before, {worth:.3f} now")
            if arguments.accept or before is None:
                baseline[(site.stem, day)] = worth
    BASELINE.write_text("".join(f"{site}\t{day}\t{worth:.3f}\n" for (site, day), worth in sorted(baseline.items())))
    print("\n".join(failures) or "no day lost more than 0.03")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
