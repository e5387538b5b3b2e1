"""Holds the configuration in force; its version never decreases."""

from figspread.direct.model import Deployment
from figspread.direct.state.routes import RouteTable


class DeploymentHolder:
    """The newest configuration applied so far, with its route table."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.current: Deployment | None = None
        self.routes = RouteTable(())

    @property
    def version(self) -> int:
        """The version in force, 0 before the first configuration."""
        return 0 if self.current is None else self.current.version

    def apply(self, deployment: Deployment) -> bool:
        """Put `deployment` in force if it is newer; return whether it was."""
        if deployment.version <= self.version:
            return False
        self.current = deployment
        self.routes = RouteTable(deployment.routes)
        return True
