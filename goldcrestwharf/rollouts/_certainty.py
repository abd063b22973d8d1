"""How sure a verdict against a version has to be."""

import math

import attrs

#: Accepted probabilities of a wrong verdict during the trial, where the
#: evidence is tested many times, and at its end.
_EARLY_ERROR = 0.0001
_FINAL_ERROR = 0.005


@attrs.frozen(kw_only=True)
class Certainty:
    """What a verdict against a version needs.

    ``error`` is the accepted probability that a good version looks as bad by
    chance, and ``min_bad`` the least number of bad answers.
    """

    error: float
    min_bad: int

    @property
    def log_doubt(self) -> float:
        """Return the negative logarithm of the accepted probability."""
        return -math.log(self.error)


#: For a verdict during the trial.
EARLY = Certainty(error=_EARLY_ERROR, min_bad=5)

#: For the one at its end. Routes with little traffic have few answers then.
FINAL = Certainty(error=_FINAL_ERROR, min_bad=3)


def find_log_doubt(bad: int, answers: int, expected: float) -> float:
    """Return how unlikely so many bad answers are (Chernoff's bound).

    The probability is at most ``exp(-result)`` if a share ``expected`` of the
    answers is bad.
    """
    share = bad / answers
    if share <= expected:
        return 0
    divergence = share * math.log(share / expected)
    good = 1 - share
    if good:
        divergence += good * math.log(good / (1 - expected))
    return answers * divergence
