#!/bin/bash
# Plays case 6, see claim.txt. TROUBLE=0 leaves the losses out.
cd "$(dirname "$0")/../.." || exit 2
RECORD="$PWD/review/6/record.txt" exec target/review-2/rig replaced
