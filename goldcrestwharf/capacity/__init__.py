"""Learned concurrency limit of a target."""

from goldcrestwharf.capacity._limit import CapacityLimit
from goldcrestwharf.capacity._meter import ConcurrencyMeter, MeterReading
from goldcrestwharf.capacity._sample import SlotOutcome, SlotSample

__all__ = (
    'CapacityLimit',
    'ConcurrencyMeter',
    'MeterReading',
    'SlotOutcome',
    'SlotSample',
)
