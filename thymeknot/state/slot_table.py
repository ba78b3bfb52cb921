"""Tables of numbered slots."""


class SlotTable:
    """Records by number. A number that was let go is given out again."""

    def __init__(self):
        self.records, self.free, self.used, self.peak = [], [], 0, 0

    def add(self, record):
        if self.free:
            number = self.free.pop()
            self.records[number] = record
        else:
            number = len(self.records)
            self.records.append(record)
        self.used += 1
        self.peak = max(self.peak, self.used)
        return number

    def get(self, number):
        return self.records[number] if 0 <= number < len(self.records) else None

    def remove(self, number):
        if self.get(number) is not None:
            self.records[number] = None
            self.free.append(number)
            self.used -= 1

    def __iter__(self):
        return (record for record in list(self.records) if record is not None)

    def __len__(self):
        return self.used
