"""The file that ``write`` makes for an application: every key with its default, commented out."""

from __future__ import annotations

import json

TEMPLATE = """\
# arrowrail: the operator's file of one application.
# Check it with: python -m arrowrail.config check FILE
# Use it with:   python -m arrowrail --config FILE
# A key that is commented out has the value shown.

application = {application}

[log]
# level = "INFO"                 # TRACE, DEBUG, INFO, WARNING or ERROR

# M3UA-style signalling (RFC 4666 over TCP, ISUP calls): clients before the controller, desk exchanges behind.
[m3ua]
# enabled = false
# listen = "127.0.0.1:2905"      # where clients connect
# point_code = 1                 # the controller's own
# routing_context = 100          # absent: none is sent or wanted
# network_appearance = 0         # absent: none is sent or wanted
# heartbeat_ms = 5000            # a peer silent for two of them is cut off
# circuits = 120                 # of the group toward a desk exchange that states none

# Which class and deadline a set-up gets, by calling party's category and transmission medium requirement.
# The first that fits is taken; a field left out fits any.
# [[m3ua.classes]]
# name = "alarm-video"           # a class of the settings
# deadline_ms = 3000
# category = 11
# requirement = 0

# To which exchange a number leads; the longest prefix wins.
# [[m3ua.numbers]]
# prefix = "0992"
# exchange = 2

# Desk exchanges that signal in this style.
# [[m3ua.desks]]
# uid = "kagoshima-1"
# address = "127.0.0.1:2906"
# point_code = 21
# exchange = 2
# zone = ""
# circuits = 0                   # 0: the common figure above

# The exchange list in etcd, beside the event bus: range and watch over the v3 JSON gateway.
[etcd]
# enabled = false
# address = "127.0.0.1:2379"
# prefix = "/arrowrail/desks/"
"""


def render(application: str) -> str:
    return TEMPLATE.format(application=json.dumps(application))
