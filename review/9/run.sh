#!/bin/bash
# Plays case 9, see claim.txt. TROUBLE=0 leaves the gang out.
cd "$(dirname "$0")/../.." || exit 2
RECORD="$PWD/review/9/record.txt" exec target/review-2/rig claimed
