#!/bin/sh
# Copies the files that come with the simulator into this folder, where the simulator expects them. Git ignores the
# copies.
# Usage: deploy/sites/ready.sh [DIRECTORY OF THE SIMULATOR'S FILES]
# Exits with 2 and names the missing files if any is not readable, and exits with 2 if a copy fails.
cd "$(dirname "$0")" || exit 2
from=${1:-../../../given/kit/more/mass/other}
missing=0
for file in real.json wire.json unlock.txt; do
    if [ ! -r "$from/$file" ]; then
        echo "ready.sh: $from/$file is missing" >&2
        missing=2
    fi
done
[ "$missing" = 0 ] || exit "$missing"
for file in real.json wire.json unlock.txt; do
    cp "$from/$file" "$file" && chmod u+w "$file" || exit 2
done
