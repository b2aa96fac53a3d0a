#!/usr/bin/env bash
# Builds what the scripts of review 3 start besides figwell-edge, which the
# deploy file's build makes. The stand-ins are Python and are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/lib3/rig.py
find review/lib3 -name __pycache__ -prune -exec rm -r {} +
