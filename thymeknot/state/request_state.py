"""What an instance remembers of a request and of its attempts."""


class RequestState:
    def __init__(self, taken, request_class, now, state):
        self.id, self.request_class, self.key, self.state = (
            taken.id,
            request_class,
            taken.key or taken.id,
            state,
        )
        self.ends, self.goal, self.streams = (
            now + taken.time_left,
            now + request_class.latency_objective,
            False,
        )
        self.sent = []  # the deliveries in their order

    def out(self):
        return sum(delivery.out for delivery in self.sent)

    def suspect(self):
        """The first delivery that is not proved unrun: rule 2 counts from it."""
        return next((delivery for delivery in self.sent if delivery.perhaps), None)


class AttemptState:
    def __init__(self, known, now):
        self.known, self.pod, self.at, self.out, self.perhaps = known, known.listed, now, True, True
