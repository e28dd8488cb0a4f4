"""The sheet: the capacity of each client account in each event.

Sheets are parsed, checked, compared and accepted here. The last accepted sheet
is in force.
"""
