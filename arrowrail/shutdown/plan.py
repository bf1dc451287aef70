"""The schedule of a graceful shutdown, from SIGTERM to SIGKILL.

According to the documents PROTOCOL ("Figures") and STANDING, new connections arrive for up to 0.4 s after
SIGTERM, and clients keep sending on open connections until SIGKILL, which comes no earlier than the longest
deadline (3 s at most) plus 0.7 s after SIGTERM.  All requests accepted by then have to be answered, and no
connection may be closed with a request pending on it.  The process therefore serves requests as usual as long
as an answer can arrive in time, limits every deadline to the time that is left, refuses requests immediately
during the last part, and exits only when no client is connected or the time of the kill has passed.

All times are Unix times in ns.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
MAX_COUNTED_DEADLINE_NS = 3_000 * MS  # longer deadlines are treated as this one
KILL_AFTER_DEADLINE_NS = 700 * MS
NEW_CONNECTION_WINDOW_NS = 700 * MS  # after SIGTERM; new connections with requests are expected until then
ANSWER_RESERVE_NS = 300 * MS  # for the last responses to reach their callers, also on a busy machine
KILL_OVERRUN_NS = 200 * MS  # after the time of the kill; without SIGKILL the process then exits by itself


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """The times of one shutdown; a further signal does not change them."""

    signalled_ns: int  # time of SIGTERM
    longest_deadline_ns: int  # the longest deadline of all classes, as a duration

    @property
    def kill_ns(self) -> int:
        """The earliest time at which SIGKILL is expected."""
        return (
            self.signalled_ns
            + min(self.longest_deadline_ns, MAX_COUNTED_DEADLINE_NS)
            + KILL_AFTER_DEADLINE_NS
        )

    @property
    def answer_by_ns(self) -> int:
        """When all open requests get their final response."""
        return self.kill_ns - ANSWER_RESERVE_NS

    def accepts_requests(self, now: int) -> bool:
        """Whether a new request may still be served; if not, it is refused at once."""
        return now < self.answer_by_ns

    def answer_deadline_ns(self, deadline_ns: int) -> int:
        """By when a request with that deadline has to be answered."""
        return min(deadline_ns, self.answer_by_ns)

    def may_exit(self, now: int, unanswered: int, connections: int) -> bool:
        """Whether the process may exit: no request is open and none can arrive, or the kill is overdue."""
        if now >= self.kill_ns + KILL_OVERRUN_NS:
            return True
        return now >= self.signalled_ns + NEW_CONNECTION_WINDOW_NS and not unanswered and not connections
