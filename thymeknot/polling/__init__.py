"""How often one of many asks a service that takes only so many calls from all, and whether what it tells is believed.
Pure: no input or output."""
