"""Scripts of the programs of both firms in the demo."""

import asyncio
import random

import msgspec

from waxwingglade.demo.session import Script, Session, Sleep

KETTU = "kettu"
KIPRONO = "kiprono"
SUB_AGENTS = 2
CLERK_PROMPT = "You book meetings between jobseekers and caseworkers. " * 20
STUDIO_PROMPT = "You draft vehicle wrap layouts from a client's brief. " * 60


class Plan(msgspec.Struct, frozen=True):
    """One class of programs in the demo; `share` is its fraction of all programs."""

    tenant: str
    program_class: str
    share: float
    script: Script


async def appointment(session: Session, pause: Sleep) -> None:
    """Find a slot, book it once and send one notice."""
    await session.say(CLERK_PROMPT + "I need a meeting with my caseworker on Monday.")
    await session.use("lookup", day="monday")
    await session.say("The free times are nine and ten. Which one suits?")
    await pause(0.2)
    await session.say("Nine is fine.")
    await session.use("booking", slot=f"monday-9-{session.program}")
    await session.say("Please tell me what was booked.")
    await session.use("notice", text="Your meeting is on Monday at nine.")


async def reminder(session: Session, _pause: Sleep) -> None:
    """Write a reminder and send it once."""
    await session.say(CLERK_PROMPT + "Remind the jobseeker of the meeting tomorrow.")
    await session.use("notice", text="Your meeting is tomorrow.")


async def design(session: Session, pause: Sleep) -> None:
    """Let sub-agents draft layouts concurrently, choose one and order the print once."""
    await session.say(STUDIO_PROMPT + "A matatu in blue and gold, with our route number.")
    drafts = [await session.delegate() for _ in range(SUB_AGENTS)]
    await asyncio.gather(*(_draft(each, number) for number, each in enumerate(drafts)))
    await session.say("Both drafts are ready. Put them side by side for the client.")
    await pause(0.2)
    await session.say("The client takes the first one.")
    await session.use("order", layout="first", metres=14)
    await session.use("notice", text="Your wrap is being printed.")


async def _draft(session: Session, number: int) -> None:
    await session.say(f"{STUDIO_PROMPT} Draft number {number}: sides, bonnet and rear.")
    await session.say("Check the draft against the vehicle's outline.")


async def revision(session: Session, pause: Sleep) -> None:
    """Revise artwork in several rounds of comments, then order the print once."""
    await session.say(STUDIO_PROMPT + "Here is the approved proof of the fleet's vans.")
    for comment in ("larger logo", "other green", "move the number", "as discussed"):
        await pause(0.1)
        await session.say(f"The fleet manager's comment: {comment}.")
    await session.use("order", layout="revised", metres=40)


PLANS = (
    Plan(KETTU, "appointment", 0.4, appointment),
    Plan(KETTU, "reminder", 0.3, reminder),
    Plan(KIPRONO, "design", 0.15, design),
    Plan(KIPRONO, "revision", 0.15, revision),
)

INITIAL_TREE = {
    "tenants": {
        KETTU: {
            "latency_weight": 0.9,
            "classes": {
                "appointment": {"urgency": "urgent", "deadline_s": 30.0},
                "reminder": {"urgency": "normal", "deadline_s": 60.0},
            },
        },
        KIPRONO: {
            "latency_weight": 0.4,
            "classes": {
                "design": {"urgency": "urgent", "deadline_s": 60.0},
                "revision": {"urgency": "routine", "deadline_s": 120.0},
            },
        },
    },
}
"""Initial configuration of the demo."""


def choose_plans(count: int, seed: int) -> list[Plan]:
    """Return the plans of `count` programs, at least one of each class, in a random order."""
    generator = random.Random(seed)
    weights = [plan.share for plan in PLANS]
    rest = max(0, count - len(PLANS))
    chosen = [*PLANS, *generator.choices(PLANS, weights, k=rest)]
    generator.shuffle(chosen)
    return chosen[:count]
