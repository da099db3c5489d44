#!/usr/bin/env bash
# Builds what the scripts of the cases start: the programs of the deploy file,
# unless they are there, and the stand-ins, which are Python files that need its
# standard library alone (version 3.11 or later).
set -eu
cd "$(dirname "$0")/.."
if [ ! -x target/masticstall-entryd ] || [ ! -x target/masticstall-agentd ]; then
	eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in review/standins/*.py review/*/case.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
