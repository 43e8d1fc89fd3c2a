"""Index of the targets whose prefix cache probably holds a prompt prefix."""

import collections

__all__ = ["PrefixCacheIndex"]


class PrefixCacheIndex:
    """Index of the prefixes that each target has used recently.

    It estimates the content of the caches from the requests that this gateway has placed. Entries
    expire by age, and each target has a bounded number of them.

    Parameters
    ----------
    ttl_s : float
        Seconds since the last use for which a prefix is assumed to be cached.
    max_entries : int
        Prefixes stored for each target; the least recently used one is evicted first.
    """

    def __init__(self, ttl_s, max_entries):
        self.ttl_s = ttl_s
        self.max_entries = max_entries
        self.by_target = {}
        self.by_prefix = {}

    def record_use(self, prefix, target, now):
        """Record that a request with the prefix is placed on the target."""
        used = self.by_target.setdefault(target, collections.OrderedDict())
        used[prefix] = now
        used.move_to_end(prefix)
        self.by_prefix.setdefault(prefix, set()).add(target)
        while len(used) > self.max_entries:
            self.evict(next(iter(used)), target)

    def targets_with(self, prefix, now):
        """Return the names of the targets that probably have the prefix cached, sorted."""
        found = []
        for target in sorted(self.by_prefix.get(prefix, ())):
            if now - self.by_target[target][prefix] > self.ttl_s:
                self.evict(prefix, target)
                continue
            found.append(target)
        return found

    def remove_target(self, target):
        """Remove all prefixes of a target.

        A target's cache is empty after a new weight version or a restart.
        """
        for prefix in list(self.by_target.get(target, ())):
            self.evict(prefix, target)
        self.by_target.pop(target, None)

    def evict(self, prefix, target):
        """Remove one prefix of a target, which must be in the index."""
        del self.by_target[target][prefix]
        targets = self.by_prefix[prefix]
        targets.discard(target)
        if not targets:
            del self.by_prefix[prefix]
