#!/bin/sh
# The stand-ins of the scripts are Python programs and need no build. They use
# the standard library only; loft-host comes from the build of the deploy file.
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
