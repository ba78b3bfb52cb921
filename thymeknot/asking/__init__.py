"""How often one of many may ask a service that takes only so many calls from all. Pure: no input or output."""
