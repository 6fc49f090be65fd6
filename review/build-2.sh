#!/bin/bash
# Builds the stand-ins of the scripted cases 6 to 10.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/rig
