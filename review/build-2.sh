#!/bin/sh
# Builds the stand-ins of the second review. They are plain JavaScript for Node.js without dependencies, so that only their
# syntax is checked. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs */case.mjs; do
  case "$file" in
    [6-9]/* | 10/* | lib-2/*) node --check "$file" ;;
  esac
done
echo "the stand-ins of the second review are ready"
