#!/usr/bin/env bash
# Needs the release build and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
here=review/14
[ -x target/review-3/lab ] || { echo "run review/build-3.sh first"; exit 2; }
rm -f "$here/record.txt"
exec target/review-3/lab other-kind target/release "$here/record.txt"
