#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python 3 scripts of the standard library and need no build; this
# checks that they can run, and that the program of the deploy file's build is there.
cd "$(dirname "$0")/.." || exit 2
command -v python3 >/dev/null || { echo "python3 is needed" >&2; exit 2; }
for file in review/common2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
  [ -f "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 2
done
[ -x target/release/postproxy ] || { echo "target/release/postproxy is missing: run the deploy file's build first" >&2; exit 2; }
