"""Start tags of workspaces for start-time fair queueing."""

from collections import Counter

from figspread.ids import WorkspaceId


class StartTags:
    """The start tags of workspaces, shared by all lanes of a queue.

    The workspace with the lowest tag is served next. When a job starts, in
    whichever lane, the tag of its workspace grows by the job's tokens divided
    by the workspace's weight. A workspace that was idle in all lanes resumes
    at the current virtual time.
    """

    def __init__(self) -> None:
        """Start at virtual time 0 with no waiting jobs."""
        self._virtual_time: float = 0
        self._start_tags: dict[WorkspaceId, float] = {}
        self._waiting: Counter[WorkspaceId] = Counter()

    def get_start_tag(self, workspace: WorkspaceId) -> float:
        """Return the start tag of a workspace with waiting jobs."""
        return self._start_tags[workspace]

    def add_waiting(self, workspace: WorkspaceId) -> None:
        """Record that a job of `workspace` starts waiting."""
        if not self._waiting:
            self._start_tags.clear()
        if workspace not in self._waiting:
            start_tag = self._start_tags.get(workspace, self._virtual_time)
            self._start_tags[workspace] = max(start_tag, self._virtual_time)
        self._waiting[workspace] += 1

    def charge(self, workspace: WorkspaceId, cost: float) -> None:
        """Advance the tag of `workspace` by the weighted `cost` of a job.

        Also advances the virtual time to the tag before the charge, unless it
        is later already.
        """
        start_tag = self._start_tags[workspace]
        self._virtual_time = max(self._virtual_time, start_tag)
        self._start_tags[workspace] = start_tag + cost

    def remove_waiting(self, workspace: WorkspaceId) -> None:
        """Record that a job of `workspace` stops waiting."""
        self._waiting[workspace] -= 1
        if self._waiting[workspace]:
            return
        self._waiting.pop(workspace)
        self._start_tags = {
            other_workspace: start_tag
            for other_workspace, start_tag in self._start_tags.items()
            if other_workspace in self._waiting
            or start_tag > self._virtual_time
        }
