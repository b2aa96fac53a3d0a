#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, beside the build line of deploy/system.toml.
# Their stand-ins, and the project's store that they use, are Python programs: they are checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in platform/soak/standins.py review/lib2/*.py review/{6,7,8,9,10,head}/*.py; do
  if [ -e "$file" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
  fi
done
echo "stand-ins of the cases 6 to 10: ready"
