#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are plain modules without dependencies, so there is only their syntax to check.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
