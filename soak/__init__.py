"""Fault soak: the real programs as separate processes on loopback, with
faults injected from outside them, and their promises checked by what callers
and runners saw.  scripts/soak-processes runs it; docs/operators/soak.md tells
what it checks."""
