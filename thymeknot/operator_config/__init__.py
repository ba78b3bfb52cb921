"""The operator file: settings beyond the platform's own, in a subset of CUE, as typed records.

- `grammar`: text to values.
- `values`: the values and constraints that a file is made of.
- `unification`: unifies a file with its schema.
- `evaluation`: resolves references, and gives plain Python values.
- `loader`: reads files, and makes records of their settings.
- `errors`: the faults of a file.
"""
