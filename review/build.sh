#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain modules without dependencies, so each is only checked.
cd "$(dirname "$0")" || exit 1
status=0
for file in lib/*.mjs [0-9]/*.mjs further/*/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || status=1
done
exit $status
