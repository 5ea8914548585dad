#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. They are plain modules without dependencies, so
# each is only checked.
cd "$(dirname "$0")" || exit 1
status=0
for file in lib-2/*.mjs [4-8]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || status=1
done
exit $status
