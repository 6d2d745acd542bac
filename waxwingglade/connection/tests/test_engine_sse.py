"""Server-sent events are decoded independently of how their bytes are split."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base import FormatError
from waxwingglade.connection.engine_sse import MAX_LINE_CHARS, EventDecoder
from waxwingglade.connection.tests.target_builders import FIXED

LINE_ENDS = ("\n", "\r\n", "\r")
LINE = st.text(st.characters(blacklist_characters="\r\n", blacklist_categories=("Cs",)))


@st.composite
def streams(draw: st.DrawFn) -> tuple[list[str], bytes]:
    """Draw events and their bytes, with comments, other fields and various line ends."""
    events = draw(st.lists(st.lists(LINE, min_size=1, max_size=3), max_size=5))
    text = ""
    for lines in events:
        end = draw(st.sampled_from(LINE_ENDS))
        noise = draw(st.sampled_from(["", f": ping{end}", f"id: 7{end}", f": alone{end}{end}"]))
        text += noise + "".join(f"data: {line}{end}" for line in lines) + end
    # The next character shows whether a final carriage return belongs to a longer line end.
    return ["\n".join(lines) for lines in events], f"{text}: end\n".encode()


class EventDecoderTest(unittest.TestCase):
    @FIXED
    @given(streams(), st.data())
    def test_any_split_gives_the_same_events(
        self, stream: tuple[list[str], bytes], data: st.DataObject
    ) -> None:
        expected, encoded = stream
        decoder = EventDecoder()
        found: list[str] = []
        while encoded:
            size = data.draw(st.integers(1, len(encoded)))
            found += decoder.feed(encoded[:size])
            encoded = encoded[size:]
        self.assertEqual(expected, found)

    @FIXED
    @given(st.lists(st.binary(max_size=50), max_size=20))
    def test_arbitrary_bytes_never_raise(self, pieces: list[bytes]) -> None:
        decoder = EventDecoder()
        for piece in pieces:
            decoder.feed(piece)

    def test_too_long_line_is_rejected(self) -> None:
        decoder = EventDecoder()
        decoder.feed(b"data: " + b"x" * (MAX_LINE_CHARS - 6))
        with self.assertRaises(FormatError):
            decoder.feed(b"x")


if __name__ == "__main__":
    unittest.main()
