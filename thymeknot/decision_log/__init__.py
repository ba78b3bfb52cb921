"""Why it went there: a record of decisions of bounded size, and what explains them.

`entries` (what one is, packed), `shares` (who gives way), `arena` (fixed slots, in memory or a mapped file), `record`
(notes of open transactions, what is kept, indexes, tallies), `sentences` (reasons to words), `asking` (the query's
protocol, pure) and `listener` (its socket), `terms`.
"""
