"""The command line: `serve` (what no words do too), `check`, `why`, `keys`. Only imported when there are words."""
