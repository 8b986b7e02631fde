#!/usr/bin/env bash
# Exits with 1 if a request was lost at a planned stop, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")" && exec python3 case.py
