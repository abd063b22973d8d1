"""Factory of daemons."""

import asyncio
import random
import uuid

from goldcrestwharf.admission import LongestTimes, Shutdown
from goldcrestwharf.discovery import (
    DaemonRecord,
    Departures,
    Directory,
    DirectoryComparison,
    InstanceTracker,
    ReaderElection,
    StoreEpochs,
)
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy._config_exchange import ConfigExchange, OfferDocument
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._crash_exchange import CrashExchange
from goldcrestwharf.proxy._daemon import ProxyDaemon
from goldcrestwharf.proxy._pause import PauseDetector
from goldcrestwharf.proxy._quota_exchange import QuotaExchange
from goldcrestwharf.proxy._rollout_exchange import RolloutExchange
from goldcrestwharf.proxy._settings import ProxySettings
from goldcrestwharf.proxy._target_calls import TargetCalls
from goldcrestwharf.proxy._transfers import Transfers


def make_daemon(
    *,
    cfg: ProxySettings,
    rng: random.Random,
    holder: PolicyHolder,
    offer: OfferDocument,
) -> ProxyDaemon:
    """Create a daemon on the running event loop, without starting it.

    ``offer`` accepts configurations from other daemons; it decodes them and
    offers them to ``holder``.
    """
    clock = asyncio.get_running_loop().time
    directory = Directory(local=_make_record(cfg))
    reader_election = ReaderElection(
        name=cfg.name, link_rate=cfg.link_rate, clock=clock
    )
    pauses = PauseDetector(clock=clock)
    instance_tracker = InstanceTracker(
        address=cfg.target,
        service=cfg.service,
        period=cfg.heartbeat_period,
    )
    return ProxyDaemon(
        core=Core(
            cfg=cfg,
            process=uuid.uuid4().hex,
            clock=clock,
            rng=rng,
            holder=holder,
            directory=directory,
            comparison=DirectoryComparison(directory=directory, rng=rng),
            reader_election=reader_election,
            store_epochs=StoreEpochs(),
            instance_tracker=instance_tracker,
            departures=Departures(drain_timeout=cfg.drain_timeout, clock=clock),
            shutdown=Shutdown(clock=clock),
            longest_times=LongestTimes(clock=clock),
            config_exchange=ConfigExchange(
                holder=holder,
                offer=offer,
                reads_store=lambda: reader_election.has_contact,
            ),
            crash_exchange=CrashExchange(
                names=cfg.names,
                clock=clock,
                rng=rng,
            ),
            pauses=pauses,
            quotas=QuotaExchange(
                directory=directory,
                holder=holder,
                clock=clock,
                find_pause=pauses.find_pause,
            ),
            transfers=Transfers(cfg=cfg, holder=holder, clock=clock),
            rollouts=RolloutExchange(
                cfg=cfg,
                instance_tracker=instance_tracker,
                clock=clock,
                rng=rng,
            ),
            target_calls=TargetCalls(
                host=cfg.target.rpartition(':')[0], clock=clock
            ),
        ),
    )


def _make_record(cfg: ProxySettings) -> DaemonRecord:
    return DaemonRecord(
        name=cfg.name,
        address=cfg.advertised_peers or cfg.peers,
        zone=cfg.zone,
    )
