"""The log of decisions: a record of bounded size, and what explains its entries.

`entry_codec` packs an entry, `slot_file` holds fixed slots in memory or a mapped file,
`fair_eviction` picks the slot to reuse, `heavy_hitters` counts frequent names, `recorder` keeps
notes, indexes and tallies, `explanations` turns reasons into sentences, `query_protocol` answers
queries (pure), `query_server` is its socket, and `settings` is what an operator sets.
"""
