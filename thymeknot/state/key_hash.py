"""Maps a request's key to its position in the traffic split."""

# 32-bit FNV-1a: draft-eastlake-fnv, "The FNV Non-Cryptographic Hash Algorithm".
OFFSET_BASIS = 2166136261
PRIME = 16777619
HASH_MASK = 0xFFFFFFFF
LARGEST_HASH = 4294967295


def key_position(key: str) -> float:
    """Returns the key's FNV-1a hash scaled to the range 0 to 1."""
    value = OFFSET_BASIS
    for byte in key.encode():
        value = (value ^ byte) * PRIME & HASH_MASK
    return value / LARGEST_HASH
