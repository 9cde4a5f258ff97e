#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
for program in release/cuminpick-gateway release/cuminpick-rank-agent review/review; do
  [ -x "$root/target/$program" ] || { echo "target/$program isn't built"; exit 2; }
done
"$root/target/review/review" cut-watches "$folder" "$root"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
