"""What is passed on: origins' items as they were signed, the least told first. Bounded in all, and by origin."""

from math import ceil, log2

MOST, MOST_OF_ONE = 512, 32
TIMES = 2  # times the logarithm of the members: how often one is told on before it rests
BACKGROUND = 2  # of those that rest, along with what is new: heals what loss has left out


class Rumour:
    __slots__ = ("origin", "start", "key_id", "content", "told", "made", "about")

    def __init__(self, item, key_id, content, made, about):
        self.origin, self.start, self.key_id, self.content = (
            item.origin,
            item.start,
            key_id,
            content,
        )
        self.told, self.made, self.about = 0, made, about


class Rumours:
    def __init__(self, chance, lapse):
        self.chance, self.lapse, self.by_about, self.of_origin = chance, lapse, {}, {}

    def __len__(self):
        return len(self.by_about)

    def add(self, item, key_id, content, made, about):
        """A newer one of the same origin about the same thing takes the former's place."""
        key = item.origin, about
        if key in self.by_about:
            self._drop(key)
        elif self.of_origin.get(item.origin, 0) >= MOST_OF_ONE:
            self._drop(
                min(
                    (one for one in self.by_about if one[0] == item.origin),
                    key=lambda one: self.by_about[one].made,
                )
            )
        elif (
            len(self.by_about) >= MOST
        ):  # the one with most gives up its oldest: a loud origin crowds out itself
            loud = max(self.of_origin, key=self.of_origin.get)
            self._drop(
                min(
                    (one for one in self.by_about if one[0] == loud),
                    key=lambda one: self.by_about[one].made,
                )
            )
        self.by_about[key] = Rumour(item, key_id, content, made, about)
        self.of_origin[item.origin] = self.of_origin.get(item.origin, 0) + 1

    def _drop(self, key):
        del self.by_about[key]
        left = self.of_origin[key[0]] - 1
        if left:
            self.of_origin[key[0]] = left
        else:
            del self.of_origin[key[0]]

    def keep(self, now, fits):
        """Drops what lapsed and what no longer fits."""
        for key in [
            key
            for key, one in self.by_about.items()
            if now - one.made > self.lapse or not fits(one)
        ]:
            self._drop(key)

    def fresh(self, members):
        """Whether something still has to be told on."""
        most = self.most(members)
        return any(one.told < most for one in self.by_about.values())

    def most(self, members):
        return TIMES * ceil(log2(members + 1))

    def pick(self, members, room, skip=None):
        """Contents for one datagram of so many bytes: the least told first, then a few that rest, by lot. What
        `skip` itself has made is not told back to it."""
        most, ready = (
            self.most(members),
            [one for one in self.by_about.values() if one.origin != skip],
        )
        chosen, resting = [], [one for one in ready if one.told >= most]
        for one in sorted((one for one in ready if one.told < most), key=lambda one: one.told):
            if len(one.content) + 3 <= room:
                chosen.append(one)
                room -= len(one.content) + 3
        for _ in range(min(BACKGROUND, len(resting))):
            one = resting[int(self.chance.draw() * len(resting))]
            if one not in chosen and len(one.content) + 3 <= room:
                chosen.append(one)
                room -= len(one.content) + 3
        for one in chosen:
            one.told += 1
        return [one.content for one in chosen]
