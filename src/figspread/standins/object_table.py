"""The object table of the stand-in for the Object API."""

import threading

from figspread.platform.types import Changes, Conflict, StoredObject, Written

_ABSENT_VERSION = 0


class ObjectTable:
    """Versioned objects by kind and name; safe to use from many threads.

    Versions increase over the whole table, not for each object.
    """

    def __init__(self) -> None:
        """Start empty, at version 0."""
        self._changed = threading.Condition()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._version = 0
        self._is_open = True

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or `None` if it doesn't exist."""
        with self._changed:
            return self._objects.get((kind, name))

    def list_all(self, kind: str) -> Changes:
        """Return all objects of `kind`, sorted by name."""
        with self._changed:
            return Changes(
                self._list_newer(kind, _ABSENT_VERSION), self._version
            )

    def put(
        self,
        kind: str,
        name: str,
        body: bytes,
        expected: int | None,
    ) -> Written | Conflict:
        """Write the object if its version is `expected`.

        An `expected` of 0 requires that the object doesn't exist, `None`
        accepts any version.
        """
        with self._changed:
            current_version = self._get_version(kind, name)
            if expected is not None and current_version != expected:
                return Conflict(current_version)
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
        """Delete the object if its version is `expected` or that is `None`.

        An object that doesn't exist is a conflict in any case.
        """
        with self._changed:
            current_version = self._get_version(kind, name)
            if current_version == _ABSENT_VERSION or expected not in {
                None,
                current_version,
            }:
                return Conflict(current_version)
            self._version += 1
            self._objects.pop((kind, name))
            return Written(self._version)

    def watch(self, kind: str, cursor: int, wait_s: float) -> Changes:
        """Wait up to `wait_s` seconds for objects newer than `cursor`.

        Return early, with what there is, when the table is closed.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    not self._is_open or bool(self._list_newer(kind, cursor))
                ),
                wait_s,
            )
            return Changes(self._list_newer(kind, cursor), self._version)

    def close(self) -> None:
        """End all watches that wait."""
        with self._changed:
            self._is_open = False
            self._changed.notify_all()

    def _get_version(self, kind: str, name: str) -> int:
        stored = self._objects.get((kind, name))
        return stored.version if stored else _ABSENT_VERSION

    def _list_newer(self, kind: str, cursor: int) -> tuple[StoredObject, ...]:
        newer = (
            stored
            for stored in self._objects.values()
            if stored.kind == kind and stored.version > cursor
        )
        return tuple(sorted(newer, key=lambda newer_object: newer_object.name))
