"""The objects of a stand-in for the Object API, safe for threads."""

import threading

from figspread.platform.types import Changes, Conflict, StoredObject, Written

_ABSENT = 0


class ObjectTable:
    """Objects with versions that grow over the whole table."""

    def __init__(self) -> None:
        """Start empty, at version 0."""
        self._changed = threading.Condition()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._version = 0
        self._is_open = True

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or `None` if there is none."""
        with self._changed:
            return self._objects.get((kind, name))

    def list_all(self, kind: str) -> Changes:
        """Return all objects of `kind`, by name."""
        with self._changed:
            return Changes(self._newer(kind, _ABSENT), self._version)

    def put(
        self,
        kind: str,
        name: str,
        body: bytes,
        expected: int | None,
    ) -> Written | Conflict:
        """Write if the object is at `expected`; 0 is absent, `None` any."""
        with self._changed:
            held = self._version_of(kind, name)
            if expected is not None and held != expected:
                return Conflict(held)
            self._version += 1
            stored = StoredObject(kind, name, self._version, body)
            self._objects[kind, name] = stored
            self._changed.notify_all()
            return Written(self._version)

    def delete(
        self,
        kind: str,
        name: str,
        expected: int | None,
    ) -> Written | Conflict:
        """Remove the object if it is at `expected`; `None` is any."""
        with self._changed:
            held = self._version_of(kind, name)
            if held == _ABSENT or expected not in {None, held}:
                return Conflict(held)
            self._version += 1
            self._objects.pop((kind, name))
            return Written(self._version)

    def watch(self, kind: str, cursor: int, wait_s: float) -> Changes:
        """Wait up to `wait_s` seconds for objects newer than `cursor`."""
        with self._changed:
            self._changed.wait_for(
                lambda: not self._is_open or bool(self._newer(kind, cursor)),
                wait_s,
            )
            return Changes(self._newer(kind, cursor), self._version)

    def close(self) -> None:
        """End all waiting watches."""
        with self._changed:
            self._is_open = False
            self._changed.notify_all()

    def _version_of(self, kind: str, name: str) -> int:
        stored = self._objects.get((kind, name))
        return stored.version if stored else _ABSENT

    def _newer(self, kind: str, cursor: int) -> tuple[StoredObject, ...]:
        found = (
            stored
            for stored in self._objects.values()
            if stored.kind == kind and stored.version > cursor
        )
        return tuple(sorted(found, key=lambda stored: stored.name))
