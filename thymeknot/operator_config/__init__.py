"""The operator file: settings of what is switched on beyond the platform's own, as CUE-like typed records."""
