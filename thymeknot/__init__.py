"""thymeknot: a traffic shifter for service updates."""
