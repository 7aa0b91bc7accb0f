"""Connections of callers find room while others wait.

Guards against callers that keep all sockets of a process by waiting, and against
requests in progress that are ended for new connections.
"""

from bilberryspring.policy.caller_room import CallerState, CallerView
from bilberryspring.process import caller_room
from bilberryspring.process.caller_room import make_caller_room


class Connection:
    def __init__(self, state=CallerState.IDLE, waited_s=1.0):
        self.state, self.waited_s = state, waited_s
        self.is_ended = False

    def view(self):
        return CallerView(self.state, self.waited_s)

    def end(self):
        self.is_ended = True


def fill(room, state, count=10):
    connections = [Connection(state, count - number) for number in range(count)]
    assert all(room.admit(each) for each in connections)
    return connections


def test_longest_wait_is_ended_for_a_new_connection():
    room = make_caller_room(10)
    connections = fill(room, CallerState.RECEIVING)
    assert room.admit(Connection())
    assert [each.is_ended for each in connections] == [True] + [False] * 9
    assert len(room.connections) == 10
    assert room.ended[CallerState.RECEIVING] == 1


def test_request_in_progress_is_never_ended():
    room = make_caller_room(10)
    connections = fill(room, CallerState.WORKING)
    assert not room.admit(Connection())
    assert room.refused_count == 1
    assert not any(each.is_ended for each in connections)


def test_connections_are_not_compared_for_each_refusal(monkeypatch):
    monkeypatch.setattr(caller_room.time, "monotonic", lambda: 1.0)
    room = make_caller_room(10)
    connections = fill(room, CallerState.WORKING)
    comparisons = []
    connections[0].view = lambda: (
        comparisons.append(1) or CallerView(CallerState.WORKING, 0)
    )
    assert not any(room.admit(Connection()) for _ in range(100))
    assert len(comparisons) == 1
    # A connection that was closed makes room at once.
    room.remove(connections[1])
    assert room.admit(Connection())


def test_crawling_sender_is_ended_before_an_idle_caller():
    room = make_caller_room(2)
    idle, crawling = Connection(waited_s=5), Connection(CallerState.RECEIVING, 2)
    for connection in (idle, crawling, Connection(waited_s=0)):
        assert room.admit(connection)
    assert crawling.is_ended and not idle.is_ended


def test_requests_in_progress_keep_sockets_for_backend_servers():
    open_sockets = 0
    room = make_caller_room(10, lambda: open_sockets)
    fill(room, CallerState.IDLE, 8)
    assert room.begin_request() and room.begin_request()
    assert len(room.connections) == 8
    open_sockets = 5
    assert room.begin_request()
    assert len(room.connections) == 5
    for _ in range(3):
        room.end_request()
    open_sockets = 0
    assert room.admit(Connection())
    assert len(room.connections) == 6


def test_request_without_room_is_refused():
    room = make_caller_room(10, lambda: 0)
    fill(room, CallerState.WORKING)
    assert not room.begin_request()


# Guards against a router that refuses all callers for good while it says it is ready.
def test_room_that_stays_full_is_told_once_with_what_fills_it(monkeypatch):
    now_s = 1.0
    monkeypatch.setattr(caller_room.time, "monotonic", lambda: now_s)
    backend_sockets = 4
    room = make_caller_room(10, lambda: backend_sockets)
    fill(room, CallerState.WORKING, 6)
    events = []
    monkeypatch.setattr(
        caller_room, "log_event", lambda name, **fields: events.append((name, fields))
    )
    assert not room.admit(Connection())
    now_s += caller_room.MAX_REFUSING_S
    assert not room.admit(Connection()) and not room.is_refusing
    now_s += 0.1
    assert not any(room.admit(Connection()) for _ in range(3))
    assert room.is_refusing
    ((name, fields),) = events
    assert name == "callers_refused"
    assert fields["connections"] == fields["working"] == 6
    assert fields["backend_connections"] == 4 and fields["limit"] == 10
    # Room shows at once, also without a new connection.
    backend_sockets = 3
    assert not room.is_refusing
    assert room.admit(Connection())
    backend_sockets = 4
    assert not room.admit(Connection()) and not room.is_refusing
