"""Execution of orders to the engine stand-in."""

from waxwingglade.base import Clock
from waxwingglade.connection import EngineOrder, EngineState, OrderKind


class OrderExecutor:
    """Executes orders after a delay, and checks or ignores their fencing numbers."""

    def __init__(
        self, models: list[str], clock: Clock, order_s: float, honours_fencing: bool
    ) -> None:
        self.clock = clock
        self.order_s = order_s
        self.honours_fencing = honours_fencing
        self.models = list(models)
        self.adapters: list[str] = []
        self.role = ""
        self.last_fencing = 0
        self.pending: list[tuple[float, EngineOrder]] = []

    def take(self, order: EngineOrder) -> bool:
        """Accept an order, or return False for one with an old fencing number."""
        if self.honours_fencing:
            if order.fencing < self.last_fencing:
                return False
            self.last_fencing = order.fencing
        self.pending.append((self.clock() + self.order_s, order))
        return True

    def state(self) -> EngineState:
        """Return the models, adapters and role after the orders that are due."""
        now = self.clock()
        while self.pending and self.pending[0][0] <= now:
            self._execute(self.pending.pop(0)[1])
        return EngineState(list(self.models), list(self.adapters), self.role, self.last_fencing)

    def serves(self, model: str) -> bool:
        """Return whether a model or adapter is served; without loaded models all are served."""
        state = self.state()
        return not state.models or model in state.models or model in state.adapters

    def _execute(self, order: EngineOrder) -> None:
        if order.kind is OrderKind.SET_ROLE:
            self.role = order.value
        elif order.kind is OrderKind.LOAD_ADAPTER:
            _add(self.adapters, order.value)
        elif order.kind is OrderKind.LOAD_MODEL:
            _add(self.models, order.value)
        elif order.kind is OrderKind.UNLOAD_ADAPTER:
            _remove(self.adapters, order.value)
        else:
            _remove(self.models, order.value)


def _add(names: list[str], name: str) -> None:
    if name not in names:
        names.append(name)


def _remove(names: list[str], name: str) -> None:
    if name in names:
        names.remove(name)


__all__ = ["OrderExecutor"]
