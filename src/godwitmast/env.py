"""Constants that describe the machine, the interpreter and this process."""

import os
import socket
import sys

PYTHON = sys.version_info[:3]
PID = os.getpid()
HOSTNAME = socket.gethostname()
CPU_COUNT = os.cpu_count() or 1
