"""Places link_relay processes between the zones of a deployment and applies network faults to them.

Per pair of zones one relay carries the connections of daemons and another one those between
endpoints, so that the two can be cut apart. One relay per pair of regions adds the delay and the
shared rate. The platform counts as a zone of its own in the store's region.
"""

import itertools

from processes import HOST, call, reserve_ports, wait_until

STORE = "store"


class Links:
    """Relays of one deployment. Declare targets first, then ask for overrides, then start."""

    def __init__(self, cluster, settings):
        self.cluster = cluster
        self.settings = settings
        self.regions = {zone["name"]: zone["region"] for zone in cluster.deployment["zones"]}
        self.regions[STORE] = settings["store"]
        self.pairs = {}
        self.overrides = {(zone, kind): {} for zone in self.regions for kind in ("daemon", "endpoint")}
        self.control = {}

    def add_target(self, address, zone, kind):
        """Makes an address of a zone reachable for the daemons or endpoints of all other zones."""
        for source in self.regions:
            if source not in (zone, STORE):
                self.overrides[source, kind][address] = self._route(source, zone, kind, address)

    def add_caller_target(self, address):
        """Returns the address at which callers reach a daemon."""
        return self._add_pair("callers", False, address)

    def override_flag(self, zone, kind):
        return "--address-overrides=" + ",".join(f"{a}={via}" for a, via in self.overrides[zone, kind].items())

    def start(self):
        for name, pairs in self.pairs.items():
            (port,) = reserve_ports(1)
            self.control[name] = f"{HOST}:{port}"
            flags = [f"--{'reverse-pair' if reverse else 'pair'}={listen}={target}" for reverse, listen, target in pairs]
            self.cluster.launch(name, self.cluster.program(
                "link_relay", f"--control-port={port}", *self._link_flags(name), *flags))
        for name in self.pairs:
            wait_until(lambda: self._apply(name, {}), 10, f"{name} did not start")

    def cut(self, zone_a, zone_b, one_way=False, kinds=("daemon", "endpoint")):
        """Cuts the zones from each other, or only the bytes from zone_a to zone_b."""
        for kind in kinds:
            name, reverse = self._name(zone_a, zone_b, kind)
            if name in self.pairs:
                self._apply(name, {"cut_backward" if reverse else "cut_forward": True} if one_way else {"cut": True})

    def isolate_zone(self, zone, kinds=("daemon", "endpoint")):
        """Cuts a zone from all others and from the platform; callers still reach its daemons."""
        for other in self.regions:
            if other != zone:
                self.cut(zone, other, kinds=kinds)

    def heal(self):
        for name in self.pairs:
            self._apply(name, {"cut": False, "freeze": False})

    def region_bytes(self):
        """Bytes that crossed between regions, by link: (forward, backward)."""
        return {name: (shown["forward_bytes"], shown["backward_bytes"])
                for name in self.pairs if name.startswith("region-")
                for shown in [self._apply(name, {})]}

    def _name(self, source, target, kind):
        first, second = sorted((source, target))
        return f"link-{kind}-{first}-{second}", source != first

    def _route(self, source, target, kind, address):
        """Chain of relays from a zone to an address; returns where the zone connects to."""
        if self.regions[source] != self.regions[target]:
            first, second = sorted((self.regions[source], self.regions[target]))
            address = self._add_pair(f"region-{first}-{second}", self.regions[source] != first, address)
        return self._add_pair(*self._name(source, target, kind), address)

    def _add_pair(self, name, reverse, target):
        (port,) = reserve_ports(1)
        listen = f"{HOST}:{port}"
        self.pairs.setdefault(name, []).append((reverse, listen, target))
        return listen

    def _link_flags(self, name):
        if name == "callers":
            return [f"--delay-ms={self.settings['caller_ms']}"]
        if name.startswith("region-"):
            return [f"--delay-ms={self.settings['region_ms']}", f"--rate-mbit={self.settings['region_mbit']}"]
        same_region = any(self._name(a, b, kind)[0] == name and self.regions[a] == self.regions[b]
                          for a, b in itertools.combinations(self.regions, 2) for kind in ("daemon", "endpoint"))
        # Between regions the delay is added by the regions' shared relay.
        return [f"--delay-ms={self.settings['zone_ms']}"] if same_region else []

    def _apply(self, name, change):
        status, shown = call(self.control[name], "POST", "/standin/link", change)
        if status != 200:
            raise RuntimeError(f"{name} refused {change}: {shown}")
        return shown
