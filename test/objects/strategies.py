"""Generate sets of objects, valid or not, for property tests."""

from hypothesis import strategies as st

from goldcrestwharf.objects import ObjectSet, Route, Service, TargetGroup

# Few names, so that two sets have some of them in common.
NAMES = st.sampled_from(['a', 'b', 'menu', 'é', '', 'x\x00', '\ud800'])
TEXTS = st.text(max_size=5)
NUMBERS = st.integers(min_value=-3, max_value=2**40)
OBJECT_SETS = st.builds(
    ObjectSet,
    target_groups=st.dictionaries(
        NAMES,
        st.builds(TargetGroup, slots=NUMBERS, queue=NUMBERS, team=TEXTS),
        max_size=4,
    ),
    services=st.dictionaries(
        NAMES,
        st.builds(
            Service,
            target_group=TEXTS,
            split=st.dictionaries(NAMES, NUMBERS, max_size=2),
        ),
        max_size=4,
    ),
    routes=st.dictionaries(
        NAMES,
        st.builds(
            Route,
            service=TEXTS,
            methods=st.lists(TEXTS, max_size=2).map(tuple),
            repeatable=st.none() | st.booleans(),
        ),
        max_size=4,
    ),
)

#: A small set that is valid except for its split.
SMALL = ObjectSet(
    target_groups={'menu-pool': TargetGroup(slots=12)},
    services={'menu': Service(target_group='menu-pool', split={'b': 5})},
    routes={'menu-web': Route(service='menu', methods=('GET',))},
)
