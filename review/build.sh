#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python scripts without dependencies: the interpreter
# is checked, and they are compiled to see that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast, pathlib
for it in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(it.read_text(), str(it))
PY
