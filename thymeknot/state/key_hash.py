"""The position of a request's key in the traffic split."""

# FNV-1a with 32 bits: draft-eastlake-fnv, "The FNV Non-Cryptographic Hash Algorithm".
OFFSET_BASIS = 2166136261
PRIME = 16777619
HASH_MASK = 0xFFFFFFFF
LARGEST_HASH = 4294967295


def key_position(key: str) -> float:
    """Returns the key's FNV-1a hash as a fraction of its range, from 0 to 1."""
    value = OFFSET_BASIS
    for byte in key.encode():
        value = (value ^ byte) * PRIME & HASH_MASK
    return value / LARGEST_HASH
