"""What a controller does when, between SIGTERM and the kill.

The pages' figures (PROTOCOL, "Figures"; STANDING): new connections keep coming for up to 0.4 s after SIGTERM,
and clients go on sending on open connections until SIGKILL, which may come the longest deadline (3 s at most)
plus 0.7 s after SIGTERM.  Whatever was taken by then has to be answered, and clients must not find a
connection closed with a request on it.  So the process serves as before while an answer can still be had in
time, cuts the time of every request down to what is left, refuses at once in the last moments, and ends only
once no client is connected or the time of the kill has passed.

All times are Unix times in ns.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
MAX_COUNTED_DEADLINE_NS = 3_000 * MS  # a longer deadline counts as that
KILL_AFTER_DEADLINE_NS = 700 * MS
NEW_CONNECTION_WINDOW_NS = 700 * MS  # until then requests on new connections are to be expected
ANSWER_RESERVE_NS = 300 * MS  # for the last answers to reach their readers, and for a machine that is busy
KILL_OVERRUN_NS = 200 * MS  # where no kill comes, the process ends by itself


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """The times of one shutdown; a second signal changes nothing in them."""

    signalled_ns: int  # when SIGTERM came
    longest_deadline_ns: int  # of all classes, as a span

    @property
    def kill_ns(self) -> int:
        """The earliest time of SIGKILL."""
        return (
            self.signalled_ns
            + min(self.longest_deadline_ns, MAX_COUNTED_DEADLINE_NS)
            + KILL_AFTER_DEADLINE_NS
        )

    @property
    def answer_by_ns(self) -> int:
        """When everything that is open gets its final answer."""
        return self.kill_ns - ANSWER_RESERVE_NS

    def accepts_requests(self, now: int) -> bool:
        """Whether a new request may still be served; later ones are refused in the turn in which they
        come."""
        return now < self.answer_by_ns

    def answer_deadline_ns(self, deadline_ns: int) -> int:
        """By when a request with that deadline has to be answered."""
        return min(deadline_ns, self.answer_by_ns)

    def may_exit(self, now: int, unanswered: int, connections: int) -> bool:
        """Whether the process may end: nothing new can come, and nothing is owed."""
        if now >= self.kill_ns + KILL_OVERRUN_NS:
            return True
        return now >= self.signalled_ns + NEW_CONNECTION_WINDOW_NS and not unanswered and not connections
