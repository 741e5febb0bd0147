#!/bin/bash
# The stand-ins of the cases 6 to 10 are Python without dependencies: nothing to build, only to check.
cd "$(dirname "$0")" && for it in lib-2/*.py [0-9]*/case.py; do
    case $it in [1-5]/*) continue ;; esac
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it" || exit 1
done
