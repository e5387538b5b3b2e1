"""Checks that hold for all tests."""

import asyncio
from collections.abc import Iterator
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import settings

# A time limit for each example fails beside other load, and examples that are drawn
# anew fail in one run and not in the next.
settings.register_profile('repeatable', deadline=None, derandomize=True)
settings.load_profile('repeatable')


@pytest.fixture(autouse=True)
def _check_writers_closed(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Fail a test that leaves a stream of a closed event loop open.

    It would raise when it is collected, in whatever test runs then.
    """
    writers: list[asyncio.StreamWriter] = []
    original = asyncio.StreamWriter.__init__

    def record(
        writer: asyncio.StreamWriter, *args: Any, **options: Any
    ) -> None:
        original(writer, *args, **options)
        writers.append(writer)

    monkeypatch.setattr(asyncio.StreamWriter, '__init__', record)
    yield
    left = [each for each in writers if not each.transport.is_closing()]
    for each in left:
        # Reported below; keeps it from raising in another test, too.
        setattr(each, '_transport', Mock())  # noqa: B010
    if left:
        pytest.fail('{0} streams are left open'.format(len(left)))
