"""Options of sockets that find out by themselves that the other end is silent."""

import socket

PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2
UNSENT_MS = 3_000
"""Bytes that are not acknowledged for so long end the connection.

A VM without power, or behind a cut link, answers nothing: a connection to it would hang
until the time-out of whatever waits on it, tens of seconds for a call that waits for
changes. Probes cost a packet a second on an idle connection and no call. Three seconds
are six times the longest way between two regions, there and back, with two packets
lost."""

SILENCE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
]
