"""Duties that one entry of a zone performs for the whole zone: giving orders to model engines."""

from waxwingglade.process.duties.controller import OrderController
from waxwingglade.process.duties.desired import (
    DesiredTarget,
    DesiredZone,
    change_desired,
    check_desired,
    check_target,
    read_desired,
)
from waxwingglade.process.duties.lease import Term, acquire, read_holder
from waxwingglade.process.duties.operating import target_routes
from waxwingglade.process.duties.permits import LoadPermits
from waxwingglade.process.duties.reconcile import Step, next_step
from waxwingglade.process.duties.reports import Reporter, apply_reports
from waxwingglade.process.duties.run import give_orders

__all__ = [
    "DesiredTarget",
    "DesiredZone",
    "LoadPermits",
    "OrderController",
    "Reporter",
    "Step",
    "Term",
    "acquire",
    "apply_reports",
    "change_desired",
    "check_desired",
    "check_target",
    "give_orders",
    "next_step",
    "read_desired",
    "read_holder",
    "target_routes",
]
