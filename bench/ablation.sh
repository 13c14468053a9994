#!/bin/bash
# ablation.sh PATTERN COMMAND... -- what mechanisms are worth
#
# For each line of test/mutations.txt whose name matches PATTERN, an extended
# regular expression, applies its edit to a copy of the repository, runs COMMAND in
# that copy, and prints the name and the last line of the output.  The first row,
# "none", is the unchanged code.

cd "$(dirname "$0")/.." || exit 1
pattern=${1:?ablation.sh PATTERN COMMAND...}
shift
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT

# run_without NAME FILE SED COMMAND...: prints the row of one mechanism
run_without () {
  local name=$1 file=$2 edit=$3 tree=$copy/tree
  shift 3
  rm -rf "$tree"
  git clone -q . "$tree" || exit 1
  if [ -n "$file" ]; then
    sed -i 's/ -Werror//' "$tree/Makefile" # the edit may leave something unused
    sed -i "$edit" "$tree/$file"
    if git -C "$tree" diff --quiet -- "$file"; then
      printf '%s\t%s\n' "$name" "the edit does not apply"
      return
    fi
  fi
  printf '%s\t%s\n' "$name" "$(cd "$tree" && "$@" 2>&1 </dev/null | tail -n 1)"
}

run_without none "" "" "$@"
while IFS=$'\t' read -r name file edit _; do
  [[ $name =~ ^# ]] || [[ ! $name =~ $pattern ]] ||
    run_without "$name" "$file" "$edit" "$@"
done <test/mutations.txt
