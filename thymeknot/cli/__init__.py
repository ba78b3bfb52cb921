"""The command line: a module for each group of commands. Imported only when there are words."""
