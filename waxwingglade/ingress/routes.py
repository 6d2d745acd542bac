"""Find the route of a request by its host, then by the longest prefix of its path."""

import xxhash

from waxwingglade.follow.model import Configuration, Route, Service, ServiceName
from waxwingglade.ingress.accounts import AccountTable


class RouteTable:
    """The routes of one version of the configuration.

    Parameters
    ----------
    configuration : Configuration
        Version of the configuration.

    Attributes
    ----------
    accounts : AccountTable or None
        Client accounts that may use routes that are not public; None where no key is needed.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services: dict[ServiceName, Service] = {
            service.name: service for service in configuration.services
        }
        self.accounts: AccountTable | None = None
        if configuration.accounts is not None:
            self.accounts = AccountTable(configuration.accounts)
        self.hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self.hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        routes = self.hosts.get(host) or self.hosts.get(host.partition(":")[0])
        if routes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def service_for(self, route: Route, key: str) -> ServiceName:
        """Return the service for a request of a route.

        A traffic split follows a hash of `key`, so that requests with the same key go to the same
        service from every entry.
        """
        shares = [share for share in route.shares if share.weight > 0] or list(route.shares)
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        point = (xxhash.xxh32_intdigest(f"{route.name}|{key}".encode()) / 2**32) * total
        for share in shares:
            point -= share.weight
            if point < 0:
                return share.service
        return shares[-1].service


__all__ = ["RouteTable"]
