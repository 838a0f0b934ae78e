#!/bin/sh
# Runs the case; TROUBLE=0 leaves the resets out.
cd "$(dirname "$0")" && exec node case.mjs
