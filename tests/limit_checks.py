"""Checks how many requests reach engines that have limits."""

# The platform's bound: from some time after an engine first named its limit,
# it gets in each window at most so many times what the limit allows, and some
# requests more.
KNOWN_AFTER_S = 3.0
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


def excesses(platform):
    """Describes each engine that got more requests than its limit allows.

    Args:
        platform: Platform stand-in whose limits have not changed.
    """
    descriptions = []
    for name, times in platform.limited_arrivals.items():
        rate = platform.request_rates[name]
        allowed = ALLOWED_FACTOR * rate * WINDOW_S + ALLOWED_EXTRA
        counted = [at for at in times if at >= times[0] + KNOWN_AFTER_S]
        most = max(
            (
                sum(start <= at < start + WINDOW_S for at in counted)
                for start in counted
            ),
            default=0,
        )
        if most > allowed:
            descriptions.append(
                f"{name} got {most} requests in {WINDOW_S} s, {allowed} allowed"
            )
    return descriptions
