"""Engines that leave in large numbers, as few and as many routers see it."""

import pytest

from shared_engines import KINDS, POOL, SharedEngines

ENGINES = 60
CHEAP = 30
FIRST_LOSS_S, SECOND_LOSS_S, END_S = 6.0, 10.0, 15.0


@pytest.fixture(scope="module", params=[6, 60, 195])
def pool(request: pytest.FixtureRequest) -> SharedEngines:
    """A pool that loses half of its engines, those that are cheap, in two steps."""
    pool = SharedEngines(request.param, ENGINES, seed=2, cheap=CHEAP)
    pool.start_load(END_S)
    pool.run(FIRST_LOSS_S)
    cheap = [name for name in pool.staying if pool.engines[name].spec.cheap]
    pool.leave(cheap[: CHEAP // 2])
    pool.run(SECOND_LOSS_S)
    pool.leave(cheap[CHEAP // 2 :])
    pool.run(END_S + 5.0)
    return pool


def test_questions_do_not_crowd_few_engines_while_others_have_places(
    pool: SharedEngines,
) -> None:
    """Guards against urgent requests without an answer while less urgent ones begin."""
    for kind in KINDS:
        assert pool.unserved(kind.name, SECOND_LOSS_S, END_S) == 0, kind.name
        share = pool.share_in_time(kind.name, SECOND_LOSS_S, END_S)
        assert share >= 0.95, (kind.name, share)


def test_group_for_questions_does_not_shrink_with_the_number_of_routers(
    pool: SharedEngines,
) -> None:
    """Guards against groups sized by the part of the load that a router hears of."""
    sizes = [
        router.backends.pools[POOL].placement.interactive_count
        for router in pool.routers
    ]
    needed = len(pool.arrived("question", 0, END_S)) / END_S * KINDS[0].events
    places = pool.engines[pool.staying[0]].model.rates.max_batch
    step_s = pool.engines[pool.staying[0]].model.rates.step_s
    assert sum(sizes) / len(sizes) >= needed * step_s / places
