"""The decision log: a store of bounded size that explains how requests were handled.

`entry_codec` encodes entries, `slot_file` stores them in fixed-size slots in memory or in a mapped
file, `regions` divides the slots and `fair_eviction` chooses the one to reuse. `recorder` collects
the reasons of open requests and stores entries, `entry_index` finds them, and `tallies` and
`heavy_hitters` count over all requests. `explanations` turns reasons into sentences,
`query_protocol` answers queries without doing I/O, and `query_server` and `query_connection` serve
them on a socket. `settings` holds the operator's settings.
"""
