"""The operator file: settings of optional features, written in a subset of CUE.

- `grammar`: parses text into values.
- `values`: the values and constraints of a file.
- `unification`: unifies a file with its schema.
- `evaluation`: resolves references and converts values to plain Python values.
- `loader`: loads files and converts their settings to typed records.
- `errors`: the errors found in a file.
"""
