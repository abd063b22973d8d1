"""Order of bodies on a link."""

#: Priority (a lower one is more urgent) and objective, a monotonic time in
#: seconds. Lower ranks go first.
TransferRank = tuple[int, float]
