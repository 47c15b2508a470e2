#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: they are Python with its standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 -c 'import ast, glob; [ast.parse(open(f).read(), f) for f in glob.glob("**/*.py", recursive=True)]'
