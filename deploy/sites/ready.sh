#!/bin/sh
# Lays the bench's own files beside the sites of this folder, where the bench looks for them; git does not keep them.
# Usage: deploy/sites/ready.sh [FOLDER OF THE KIT]     ends with 2 and says what it misses
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
