"""Stories in plain words over a fleet in memory; `steps` says what the words do."""
