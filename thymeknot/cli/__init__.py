"""The command line, with a module for each group of commands.

It is imported only if the program is started with arguments.
"""
