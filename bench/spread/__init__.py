"""Measures how soon many processes apply a new configuration.

`scripts/spread` runs real watchers and agents against a stand-in store. It sends
no requests of callers.
"""
