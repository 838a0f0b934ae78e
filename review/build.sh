#!/bin/sh
# The stand-ins are plain JavaScript modules for Node.js: nothing is compiled, their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
