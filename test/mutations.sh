#!/bin/bash
# mutations.sh -- checks that tests fail without the mechanism that they cover
#
# In a copy of the tree, each line of mutations.txt disables one mechanism by a
# sed edit; the named test must then fail.  Prints one line for each mutation.
# The exit status is 1 if a mutation is not detected, does not apply or does not
# build.  ONLY=REGEX: only the lines that match it.

cd "$(dirname "$0")/.." || exit 1
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -r Makefile boragelatch.h core io emulator platform test "$copy"
cd "$copy" || exit 1
passed=0 failed=0

# mutate NAME FILE SED TEST [CASE]: applies SED to FILE; TEST must then fail, in
# CASE if one is given
mutate () {
  local out
  cp "$2" saved
  sed -i "$3" "$2"
  if cmp -s "$2" saved; then
    echo "FAILED  $1: the edit does not apply"
    failed=$((failed + 1))
    return
  fi
  make -s WARN= "build/$4" >make.log 2>&1 || { tail -5 make.log; echo "FAILED  $1: does not build"; failed=$((failed + 1)); cp saved "$2"; return; }
  if out=$(timeout 120 "build/$4" 2>&1); then
    echo "FAILED  $1: $4 passes without it"
    failed=$((failed + 1))
  elif [ -n "$5" ] && ! grep -q "FAILED.*$5" <<<"$out"; then
    echo "FAILED  $1: $4 fails, but not in $5"
    failed=$((failed + 1))
  else
    echo "ok      $1: $4 ${5:+($5) }fails without it"
    passed=$((passed + 1))
  fi
  cp saved "$2"
}

while IFS=$'\t' read -r name file edit test case; do
  [ -n "$name" ] && [ "${name:0:1}" != "#" ] &&
    mutate "$name" "$file" "$edit" "$test" "$case"
done < <(grep -E "${ONLY:-.}" test/mutations.txt)
echo "$passed passed, $failed failed"
[ $failed = 0 ]
