"""The configuration in force; its version only rises."""

from figspread.direct.model import Deployment
from figspread.direct.routes import RouteTable


class DeploymentHolder:
    """Holds the newest configuration that was taken."""

    def __init__(self) -> None:
        """Start without one."""
        self.current: Deployment | None = None
        self.routes = RouteTable(())

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return 0 if self.current is None else self.current.version

    def take(self, deployment: Deployment) -> bool:
        """Put `deployment` in force if it is newer; tell whether it is."""
        if deployment.version <= self.version:
            return False
        self.current = deployment
        self.routes = RouteTable(deployment.routes)
        return True
