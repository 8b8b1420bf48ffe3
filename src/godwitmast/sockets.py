"""Socket options that detect a peer that has stopped answering."""

import socket

PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
MAX_FAILED_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
"""A connection fails when sent bytes are not acknowledged for this time.

A VM that lost power or its network link sends no reset, so a connection to it would hang
until the time-out of its user, which is tens of seconds for a long poll. Keepalive
probes cost one packet a second on an idle connection, and no call. Three seconds are six
times the longest round trip between two regions with two packets lost."""

DEAD_PEER_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_FAILED_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
]
