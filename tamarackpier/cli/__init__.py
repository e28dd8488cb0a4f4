"""The command line of operators, `tamarackpier`."""
