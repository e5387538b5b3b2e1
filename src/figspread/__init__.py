"""Serving layer for language-model prompts of widely varying lengths."""

from typing import Final

__version__: Final = '0.1.0'
