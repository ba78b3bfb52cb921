"""A request's key: its position in the traffic split, and its form in tables of keys."""

# 32-bit FNV-1a: draft-eastlake-fnv, "The FNV Non-Cryptographic Hash Algorithm".
OFFSET_BASIS = 2166136261
PRIME = 16777619
HASH_MASK = 0xFFFFFFFF
LARGEST_HASH = 4294967295
MAX_TABLE_KEY_LENGTH = 64  # characters


def key_position(key: str) -> float:
    """Returns the key's FNV-1a hash scaled to the range 0 to 1."""
    value = OFFSET_BASIS
    for byte in key.encode():
        value = (value ^ byte) * PRIME & HASH_MASK
    return value / LARGEST_HASH


def table_key(name: str) -> str:
    """Returns what stands for a key or an id in a table that outlives its request.

    Clients choose their names, of up to 64 KiB. A long one is replaced by its beginning, its length
    and its hash, which differs from process to process, so that nobody can choose two names alike.
    """
    if len(name) <= MAX_TABLE_KEY_LENGTH:
        return name
    return f"{name[: MAX_TABLE_KEY_LENGTH // 2]}~{len(name)}~{hash(name):x}"
