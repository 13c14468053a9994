#!/bin/bash
# install-packages.sh -- installs those Debian packages listed in packages.txt
# that are missing
cd "$(dirname "$0")" || exit 1
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed' || missing+=("$package")
done <packages.txt
[ ${#missing[@]} = 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update >/dev/null && DEBIAN_FRONTEND=noninteractive \
  apt-get install -y --no-install-recommends "${missing[@]}" >/dev/null
