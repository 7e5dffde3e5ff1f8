#!/bin/sh
# Prepares the cases of this review. Their stand-ins are Python modules in
# review/lib3 that need nothing but python3 (3.11 or newer); this checks that
# they load. loft-host itself comes from the build command of the deploy file.
set -eu
cd "$(dirname "$0")/lib3"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import fleet, http11, servers, store, tomllib'
