"""Tests that run one at a time, apart from all others."""
