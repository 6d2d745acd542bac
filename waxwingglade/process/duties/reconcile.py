"""Computes the next order that brings a model engine closer to its desired state."""

import msgspec

from waxwingglade.connection.engine_events import EngineState, OrderKind
from waxwingglade.process.duties.desired import DesiredTarget

LOADS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)


class Step(msgspec.Struct, frozen=True):
    """An order without its fencing number."""

    kind: OrderKind
    value: str

    @property
    def loads(self) -> bool:
        """Whether it makes the engine fetch weights."""
        return self.kind in LOADS

    def __str__(self) -> str:
        return f"{self.kind.value} {self.value}".rstrip()


def next_step(desired: DesiredTarget, state: EngineState) -> Step | None:
    """Return the next order, None if the state is the desired one.

    Unwanted weights are unloaded before wanted ones are loaded, since the memory may not hold both.
    """
    if desired.role and state.role != desired.role:
        return Step(OrderKind.SET_ROLE, desired.role)
    for kind, names in (
        (OrderKind.UNLOAD_ADAPTER, _without(state.adapters, desired.adapters)),
        (OrderKind.UNLOAD_MODEL, _without(state.models, desired.models)),
        (OrderKind.LOAD_MODEL, _without(desired.models, state.models)),
        (OrderKind.LOAD_ADAPTER, _without(desired.adapters, state.adapters)),
    ):
        if names:
            return Step(kind, names[0])
    return None


def lacks_weights(desired: DesiredTarget, state: EngineState) -> bool:
    """Return whether a desired model or adapter is not loaded yet."""
    missing = _without(desired.models, state.models) or _without(desired.adapters, state.adapters)
    return bool(missing)


def has_effect(step: Step, state: EngineState) -> bool:
    """Return whether the state shows the effect of an order."""
    if step.kind is OrderKind.SET_ROLE:
        return state.role == step.value
    if step.kind is OrderKind.LOAD_MODEL:
        return step.value in state.models
    if step.kind is OrderKind.UNLOAD_MODEL:
        return step.value not in state.models
    if step.kind is OrderKind.LOAD_ADAPTER:
        return step.value in state.adapters
    return step.value not in state.adapters


def serving(desired: DesiredTarget, state: EngineState) -> list[str]:
    """Return the models and adapters that may get calls: those loaded and desired."""
    wanted = {*desired.models, *desired.adapters}
    return [name for name in [*state.models, *state.adapters] if name in wanted]


def _without(names: list[str], others: list[str]) -> list[str]:
    return [name for name in names if name not in others]
