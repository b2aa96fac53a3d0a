#!/usr/bin/env bash
# Checks the stand-ins that the scripts start: they are Python, so nothing is compiled.
# The scripts use target/bin/figwell-edge, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for file in platform/soak/standins.py review/lib/*.py review/[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x target/bin/figwell-edge || echo "note: target/bin/figwell-edge is not built yet"
