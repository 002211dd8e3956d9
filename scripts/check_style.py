#!/usr/bin/env python3
"""Checks the conventions that neither rustfmt nor clippy knows; see CONTRIBUTING.md."""

import re
import subprocess
import sys
from pathlib import Path

MAX_LINES = 500
MAX_FIELD_WORDS = 2
MAX_SOAK_SHARE = 1 / 10

USE = re.compile(r"^(pub(?:\([a-z]+\))? |)use (?:::)?(\w+)")
FIELD = re.compile(r"^    (?:pub(?:\([a-z]+\))? )?([a-z][a-z0-9_]*): [^=]*,$")
STRUCT = re.compile(r"^(?:pub(?:\([a-z]+\))? )?struct \w+.*\{$")
FORBIDDEN = re.compile(r"\b(HashMap|HashSet)\b")
WIRE_NAMES = re.compile(
    r"response-stamp|expect-instance|server-load|server-leaving|affinity-key|deadline-ms\b|/-/|"
    r"target_latency_s|cold_remaining_s|cold_per_s|seq_no|path_prefix|home_regions", re.IGNORECASE)
WIRE_HOMES = ("platform", "crates/lab/src/stand_ins", "crates/soak/src/stand_ins",
              "crates/steer/src/flows/call.rs")
BANNER = re.compile(r"copyright|spdx|licensed under", re.IGNORECASE)


def rust_files():
    listed = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.rs"],
        capture_output=True, text=True, check=True)
    return sorted(p for p in map(Path, listed.stdout.split()) if p.exists())


def is_test(path):
    return "tests" in path.parts or path.stem.endswith("_tests") or "benches" in path.parts


def check_uses(path, lines):
    """One `use` statement a crate and visibility."""
    seen = set()
    for number, line in enumerate(lines, 1):
        match = USE.match(line)
        if not match:
            continue
        if match.groups() in seen:
            yield f"{path}:{number}: a second `use {match.group(2)}`; nest it in the first"
        seen.add(match.groups())


def check_fields(path, lines):
    in_struct = False
    for number, line in enumerate(lines, 1):
        if STRUCT.match(line):
            in_struct = True
        elif line == "}":
            in_struct = False
        match = FIELD.match(line) if in_struct else None
        if match and len(match.group(1).strip("_").split("_")) > MAX_FIELD_WORDS:
            yield f"{path}:{number}: field `{match.group(1)}` has more than two words"


def check_file(path, lines):
    if len(lines) > MAX_LINES:
        yield f"{path}: {len(lines)} lines, at most {MAX_LINES} are allowed"
    if not is_test(path) and not (lines and lines[0].startswith("//!")):
        yield f"{path}:1: the module has no `//!` comment"
    if any(BANNER.search(line) for line in lines[:10]):
        yield f"{path}: a notice or licence banner"
    for number, line in enumerate(lines, 1):
        if FORBIDDEN.search(line):
            yield f"{path}:{number}: unordered map; use BTreeMap or BTreeSet"
    if not is_test(path) and not str(path).startswith(WIRE_HOMES):
        for number, line in enumerate(lines, 1):
            if WIRE_NAMES.search(line):
                yield f"{path}:{number}: a name of the users' platform; it belongs into platform/"
    yield from check_uses(path, lines)
    yield from check_fields(path, lines)


def check_shares(sizes):
    total = sum(sizes.values())
    tests = sum(n for p, n in sizes.items() if is_test(p))
    soak = sum(n for p, n in sizes.items() if p.parts[:2] == ("crates", "soak"))
    print(f"lines: {total} in all, {tests} of tests ({tests / total:.0%}), {soak} of the soak")
    if soak > MAX_SOAK_SHARE * total:
        yield "the soak is more than a tenth of the code"


def main():
    problems = []
    sizes = {}
    for path in rust_files():
        lines = path.read_text().splitlines()
        sizes[path] = len(lines)
        problems += check_file(path, lines)
    problems += check_shares(sizes)
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
