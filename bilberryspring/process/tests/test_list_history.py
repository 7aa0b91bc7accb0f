"""Changes between revisions of the instance list, which processes send each other."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
    Role,
)
from bilberryspring.connection.instance_list_messages import (
    MAX_CHANGES,
    InstanceListState,
)
from bilberryspring.process import list_history
from bilberryspring.process.list_history import ListHistory, digest_instances


def make_node(number, weight=1.0):
    return Instance(f"i{number}", Role.AGENT, "p", "z", "r", "a:1", weight=weight)


# Weights by number of the instance; the weight tells versions of an entry apart.
ENTRIES = st.dictionaries(st.integers(0, 8), st.integers(1, 3))


def make_list(revision, entries):
    nodes = tuple(make_node(number, weight) for number, weight in entries.items())
    return InstanceList(revision, nodes, f"tag-{revision}")


def make_state(history, known):
    """Return the state that a process with a history sends to one with a revision."""
    changes = history.select_changes(known)
    return InstanceListState(
        history.listed.revision,
        history.digest,
        history.listed.entity_tag,
        base_revision=changes.base if changes else 0,
        changed=changes.changed if changes else (),
        removed=changes.removed if changes else (),
    )


@given(
    st.lists(ENTRIES, min_size=2, max_size=12),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 3)), max_size=40),
)
def test_processes_hold_the_platforms_entries_whoever_sends_them_changes(shown, steps):
    """Three processes fetch lists or send each other changes in any order."""
    now = 1
    lists = [make_list(number, entries) for number, entries in enumerate(shown, 1)]
    histories = [ListHistory() for _ in range(3)]
    for history in histories:
        history.replace(lists[0])
    for receiver, source in steps:
        history = histories[receiver]
        if source == 3:
            now = min(now + 1, len(lists))
            history.replace(lists[now - 1])
        else:
            history.apply(make_state(histories[source], history.listed.revision))
        expected = lists[history.listed.revision - 1]
        assert set(history.listed.instances) == set(expected.instances)
        assert history.listed.entity_tag == expected.entity_tag


def test_changes_are_complete_from_every_known_revision():
    sender = ListHistory()
    lists = [make_list(r, {n: 1 for n in range(r, r + 5)}) for r in range(1, 9)]
    for listed in lists:
        sender.replace(listed)
    for listed in lists[:-1]:
        receiver = ListHistory()
        receiver.replace(listed)
        assert receiver.apply(make_state(sender, listed.revision))
        assert receiver.digest == sender.digest


def test_changes_that_are_old_or_do_not_match_are_refused():
    history = ListHistory()
    base = make_list(5, {1: 1, 2: 1})
    assert not history.apply(InstanceListState(1, 0, base_revision=0))
    history.replace(base)
    added = make_node(3)
    digest = digest_instances({n.instance_id: n for n in (*base.instances, added)})
    valid_state = InstanceListState(6, digest, base_revision=5, changed=(added,))
    wrong_states = [
        replace(valid_state, revision=5),
        replace(valid_state, revision=4),
        replace(valid_state, base_revision=6),
        replace(valid_state, digest=digest + 1),
        replace(valid_state, removed=("i1",)),
    ]
    for wrong in wrong_states:
        assert not history.apply(wrong)
        assert history.listed == base
    assert history.apply(valid_state)


def test_no_changes_are_selected_from_before_the_oldest_kept_removal(monkeypatch):
    monkeypatch.setattr(list_history, "MAX_REMOVALS", 2)
    history = ListHistory()
    history.replace(make_list(1, {n: 1 for n in range(5)}))
    for revision in range(2, 6):
        entries = {n: 1 for n in range(6 - revision)}
        history.replace(make_list(revision, entries))
    assert history.select_changes(1) is None and history.select_changes(2) is None
    assert len(history.select_changes(3).removed) == 2
    assert history.select_changes(6) is None
    history.replace(make_list(2, {}))
    assert history.select_changes(1) is None


def test_no_changes_are_selected_if_they_exceed_a_message():
    history = ListHistory()
    history.replace(make_list(1, {}))
    history.replace(make_list(2, {n: 1 for n in range(MAX_CHANGES + 1)}))
    assert history.select_changes(1) is None
