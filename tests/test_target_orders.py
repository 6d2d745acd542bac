"""The entry that sends orders to engines is frozen, replaced and resumed."""

import functools
import hashlib
import unittest

from tests.client import Caller
from tests.processes import SALT, ZONES, cluster, wait_until

TOKEN = "token-of-petra"
ENGINE = "/v1/targets/engine-1"
OVERRIDES = {
    "store": {"lease_ttl_s": 2.0},
    "target_orders": {
        "follow_s": 0.1,
        "check_s": 0.2,
        "read_back_s": 0.05,
        "order_timeout_s": 0.5,
        "effect_timeout_s": 2.0,
        "margin_s": 0.5,
    },
    "weight_store": {"loads_at_once": 2, "loads_per_minute": 6000.0},
    "operator_keys": [
        {
            "operator": "petra",
            "role": "proposer",
            "salt": SALT,
            "sha256": hashlib.sha256(f"{SALT}{TOKEN}".encode()).hexdigest(),
        }
    ],
}


class FrozenOrderHolder(unittest.TestCase):
    def test_engines_reach_the_state_that_was_requested_last(self):
        with cluster(ZONES[:1] * 3, OVERRIDES) as running:
            # An entry prints its operators' URL in its second line.
            operators = {
                name: Caller(running.processes[name].first_line(), TOKEN)
                for name in map(running.entry_name, range(3))
            }
            engine = Caller(running.urls["engine-1"])
            self.request_model(operators["entry-0"], "base@1")
            wait_until(lambda: loaded_models(engine) == ["base@1"], "the first state")
            first_holder = operators["entry-0"].send("GET", "/v1/orders")["holder"]
            other = next(each for name, each in operators.items() if name != first_holder)
            running.processes[first_holder].freeze()
            self.request_model(other, "base@2")
            wait_until(lambda: loaded_models(engine) == ["base@2"], "a new holder")
            second_holder = other.send("GET", "/v1/orders")["holder"]
            self.assertNotEqual(first_holder, second_holder)
            running.processes[first_holder].thaw()
            # The resumed entry's state is outdated, and it must reach the state of the others.
            self.request_model(operators[first_holder], "base@3")
            for operator in operators.values():
                reports_state = functools.partial(reports_agreement, operator, "base@3")
                wait_until(reports_state, "every entry to report the state")
            self.assertEqual(["base@3"], loaded_models(engine))
            self.check_orders(engine)

    def request_model(self, operator, model):
        """Request a model on the engine."""
        answer = operator.send("PUT", ENGINE, {"models": [model]})
        self.assertEqual([model], answer.get("desired", {}).get("models"), answer)

    def check_orders(self, engine):
        """Check that an earlier holder has sent at most one late order."""
        history = engine.send("GET", "/standin/history")["controls"]
        numbers = [each["fencing"] for each in history if each["kind"] == "order"]
        late = [
            number for index, number in enumerate(numbers) if number < max(numbers[: index + 1])
        ]
        self.assertGreater(len(set(numbers)), 1)
        self.assertLessEqual(len(late), 1)


def loaded_models(engine):
    """Return the models that an engine has loaded."""
    return engine.send("GET", "/v1/state")["models"]


def reports_agreement(operator, model):
    """Return whether an entry reports that the engine has reached the requested state."""
    targets = operator.send("GET", "/v1/orders")["targets"]
    states = [each for each in targets if each["target"] == "engine-1"]
    return bool(states) and states[0]["agrees"] and states[0]["serving"] == [model]
