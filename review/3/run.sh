#!/bin/sh
# Plays the case; exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption (no bad clients) and has to pass.
cd "$(dirname "$0")" || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s TERM 116 java -Xmx512m -Droot="$(cd ../.. && pwd)" -Dfolder="$folder" -cp ../out \
    BadClients SAME_AGAIN record.txt 100000
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
