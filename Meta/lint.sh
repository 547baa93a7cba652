#!/usr/bin/env bash
# Runs clang-tidy over all source files of the release build, or over the files given. A file whose preprocessed
# text, checks and flags have passed before is skipped; the record is kept beside the compiler cache, so that a
# fresh clone profits from it. LINT_JOBS limits the processes.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release > /dev/null
cache="${XDG_CACHE_HOME:-$HOME/.cache}/daisyroute-lint"
mkdir -p "$cache"
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cpp')
fi
export cache
lint_context=$( { clang-tidy --version; cat .clang-tidy; } | sha256sum | cut -d' ' -f1)
export lint_context

# Prints the compile command of one source file without its output options.
compile_command() {
    python3 - "$1" <<'EOF'
import json, os, sys
path = os.path.abspath(sys.argv[1])
for entry in json.load(open("Build/compile_commands.json")):
    if entry["file"] == path:
        words = entry["command"].split()
        words = words[1:] if words[0].endswith("ccache") else words
        print(" ".join(word for word in words[:words.index("-o")]))
        break
EOF
}
export -f compile_command

lint_file() {
    local file="$1" command key
    command=$(compile_command "$file")
    if [ -z "$command" ]; then
        echo "$file: not in the release build; nothing to check" >&2
        return 0
    fi
    # Comments count, because they may switch a check off.
    key=$( { echo "$lint_context"; eval "$command -E -C '$file'" | sed "s#$PWD/##g"; } | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    # clang-tidy reports the count of suppressed system warnings on standard error; only findings matter here.
    clang-tidy -p Build --quiet "$file" 2> >(grep -v 'warnings\? generated' >&2) || return 1
    touch "$cache/$key"
}
export -f lint_file
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -euo pipefail -c 'lint_file "$1"' _ {}
