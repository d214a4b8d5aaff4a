#!/usr/bin/env bash
# Case 4. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 runs it
# without the trouble. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
rm -f "$here/record.txt"
folder=$(mktemp -d) || exit 2
end() {
    # The controllers end with the stand-in. If it was ended itself, their ids are in the folder.
    while read -r id; do
        [ "$(cat "/proc/$id/comm" 2>/dev/null)" = stairstage ] && kill -9 "$id"
    done < <(cat "$folder/pids" 2>/dev/null)
    rm -rf "$folder"
}
trap end EXIT
timeout 118 target/review-2/standin-2 pipeline "$folder" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
