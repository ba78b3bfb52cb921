"""Where a key lies on the ramp."""


def key_position(key):
    """FNV-1a, 32 bits, as a share of its range: where the key lies on the ramp."""
    value = 2166136261
    for byte in key.encode():
        value = (value ^ byte) * 16777619 & 0xFFFFFFFF
    return value / 4294967295
