"""Expected output lengths, estimated from completed calls."""

from waxwingglade.base import ClassName
from waxwingglade.decisions.work import Pool, Work

SMOOTHING = 0.1
DEFAULT_OUTPUT_TOKENS = 128


class OutputLengthTracker:
    """Smoothed mean of output tokens, by program class and model."""

    def __init__(self) -> None:
        self.means: dict[tuple[ClassName, Pool], float] = {}

    def observe(self, work: Work, output_tokens: int) -> None:
        """Update the mean with the output length of a call."""
        key = (work.program_class, work.pool)
        mean = self.means.get(key, float(output_tokens))
        self.means[key] = mean + SMOOTHING * (output_tokens - mean)

    def fill_in_expected_output(self, work: Work) -> None:
        """Set the expected output of a model call that states none."""
        if work.expected_output_tokens or not work.prompt_tokens:
            return
        mean = self.means.get((work.program_class, work.pool), DEFAULT_OUTPUT_TOKENS)
        work.expected_output_tokens = int(mean)
