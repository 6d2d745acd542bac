"""Settings files and configuration trees with arbitrary content."""

import tempfile
import unittest
from pathlib import Path

import hypothesis.strategies as st
import yaml
from hypothesis import given

from tests.fuzz.builders import FIXED, damaged, json_values
from waxwingglade.base import FormatError, SettingsError
from waxwingglade.settings import ProcessSettings, load_settings, parse_settings
from waxwingglade.version import Tree, parse_tree

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
ENTRY = (EXAMPLES / "kettu-entry.yaml").read_bytes()
VALID_TREE = yaml.safe_load((EXAMPLES / "kettu-tree.yaml").read_text())
names = st.sampled_from(sorted({*ProcessSettings.__struct_fields__, "unknown"}))


@st.composite
def changed_trees(draw):
    """Draw a valid tree in which one value, at any depth, is replaced."""

    def replace_value(node):
        if not isinstance(node, dict) or not node or draw(st.booleans()):
            return draw(json_values)
        key = draw(st.sampled_from(sorted(node, key=str)))
        return {**node, key: replace_value(node[key])}

    return replace_value(VALID_TREE)


class SettingsFiles(unittest.TestCase):
    @FIXED
    @given(st.binary(max_size=300) | damaged(ENTRY))
    def test_a_file_is_read_or_its_errors_are_named(self, content):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.yaml"
            path.write_bytes(content)
            try:
                self.assertIsInstance(load_settings(path), ProcessSettings)
            except SettingsError as error:
                self.assertIn(str(path), str(error))

    @FIXED
    @given(st.dictionaries(names, json_values, max_size=5) | json_values)
    def test_data_is_taken_or_its_error_is_named(self, data):
        try:
            self.assertIsInstance(parse_settings(data, ProcessSettings, "here"), ProcessSettings)
        except SettingsError as error:
            self.assertIn("here", str(error))

    @FIXED
    @given(json_values | changed_trees())
    def test_a_tree_is_read_or_refused(self, data):
        try:
            self.assertIsInstance(parse_tree(data, "here"), Tree)
        except (SettingsError, FormatError) as error:
            self.assertTrue(str(error))
