"""Memory of the targets whose prompt-prefix cache probably holds a prefix."""

import collections

__all__ = ["PrefixMemory"]


class PrefixMemory:
    """Recently used prefixes by target, bounded by age and number.

    Parameters
    ----------
    ttl_s : float
        Age up to which a cached prefix is assumed to exist.
    entries : int
        Prefixes remembered for each target; the least recently used one is dropped first.
    """

    def __init__(self, ttl_s, entries):
        self.ttl_s = ttl_s
        self.entries = entries
        self.by_target = {}
        self.by_prefix = {}

    def remember(self, prefix, target, now):
        """Note that a request with the prefix goes to the target."""
        used = self.by_target.setdefault(target, collections.OrderedDict())
        used[prefix] = now
        used.move_to_end(prefix)
        self.by_prefix.setdefault(prefix, set()).add(target)
        while len(used) > self.entries:
            self.drop(next(iter(used)), target)

    def holders(self, prefix, now):
        """Return the targets that probably hold the prefix, in a stable order."""
        held = []
        for target in sorted(self.by_prefix.get(prefix, ())):
            if now - self.by_target[target][prefix] > self.ttl_s:
                self.drop(prefix, target)
                continue
            held.append(target)
        return held

    def forget(self, target):
        """Drop all prefixes of a target, whose cache is empty after a new version or a restart."""
        for prefix in list(self.by_target.get(target, ())):
            self.drop(prefix, target)
        self.by_target.pop(target, None)

    def drop(self, prefix, target):
        """Drop one prefix of a target."""
        del self.by_target[target][prefix]
        targets = self.by_prefix[prefix]
        targets.discard(target)
        if not targets:
            del self.by_prefix[prefix]
