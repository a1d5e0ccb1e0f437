"""Deterministic answers of the engine stand-in.

A question about a topic of the demo gets a fixed answer. Every other answer
is a function of the prompt and the offset, so that a stream that resumes on
another engine continues with the same words.
"""

import types

import xxhash

_FIXED_ANSWERS = types.MappingProxyType(
    {
        'basking': (
            'The basking bulb now runs from 07:30 to 17:30 because the days are '
            'shorter. Keep the basking spot at 38 to 40 degrees Celsius, let the '
            'cool side stay near 26, and replace the UV tube every six months.'
        ),
        'care sheet': (
            'Summary of the care sheet: one adult for each enclosure, a warm side '
            'of 32 degrees Celsius and a cool side of 25, humidity of 50 to 60 '
            'per cent, a moist hide during the shed, and food every five days.'
        ),
        'tag': 'Tags: lighting, schedule, gecko.',
        'menu': (
            'Memorial menu for twelve guests: sesame tofu, simmered vegetables, '
            'chilled wheat noodles without buckwheat, pickles and green tea. It '
            'holds no meat, fish, egg, garlic or onion, and no peanuts.'
        ),
        'condolence': (
            'Please accept our sincere condolences on the loss of your mother. '
            'Her kindness to the neighbourhood will be remembered. We will '
            'prepare the trays with care and stay at your service.'
        ),
        'rite': (
            'The dish agrees with the rite: it holds no meat or fish. Replace the '
            'bonito stock with kelp stock, and serve it before the sutra reading.'
        ),
    }
)
_WORDS = (
    'amber basin calm dawn ember fern glass harbour iris jade kettle lamp '
    'maple north olive paper quiet river stone tide umber violet willow '
    'yarrow zinc aspen birch cedar drift early field grain'
).split()


def fixed_answer(question: str) -> list[str]:
    """Return the words of the fixed answer to a question, if it has one."""
    lower_question = question.lower()
    for topic, text in _FIXED_ANSWERS.items():
        if topic in lower_question:
            return text.split()
    return []


def word(seed: int, offset: int) -> str:
    """Return the word at an offset of the generated answer to a prompt.

    :param seed: hash of the prompt.
    """
    digest = xxhash.xxh3_64_intdigest(str(offset).encode(), seed=seed % 2**64)
    return _WORDS[digest % len(_WORDS)]
