"""Demo of the stand-in fleet."""

from bilberryspring.standin.demo import run_demo


async def test_demo_serves_a_chat_runs_an_order_once_and_stops_cleanly(capsys):
    assert await run_demo()
    output = capsys.readouterr().out
    assert "40 events, whole." in output
    assert "journals show 1 run." in output
    assert "21 processes stopped, 0 with an error." in output
