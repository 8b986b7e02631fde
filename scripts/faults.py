"""Random faults for a running cluster, and a model of which services can have a primary meanwhile."""

import itertools
import threading
import time


class FaultInjector:
    """Applies faults, undoes them all with heal(), and logs each with its time."""

    def __init__(self, cluster, random, started):
        self.cluster = cluster
        self.random = random
        self.started = started
        self.log = []
        self.frozen = set()
        self.killed_endpoints = set()
        self.down_daemons = set()
        self.cuts = set()  # (zone, zone) in both orders, for either kind of link
        self.lock = threading.Lock()
        self.availability = [(started, self._available())]
        self.replacements = 0

    def kinds(self):
        """Fault functions with their weights."""
        return [(self.freeze_primary, 4), (self.freeze_endpoint, 2), (self.freeze_daemon, 3), (self.kill_daemon, 3),
                (self.cut_zones, 2), (self.cut_one_way, 3), (self.cut_endpoint_links, 2), (self.isolate_zone, 3),
                (self.platform_outage, 3), (self.platform_slow, 1), (self.lose_platform_answers, 2),
                (self.replace_daemons, 1)]

    def inject(self):
        """Applies one to three random faults within two seconds and holds them past detection."""
        functions, weights = zip(*self.kinds())
        for _ in range(self.random.choices((1, 2, 3), (55, 28, 17))[0]):
            self.random.choices(functions, weights)[0]()
            self._note_availability()
            time.sleep(self.random.uniform(0, 1))
        time.sleep(self.random.uniform(4, 14))

    def heal(self):
        self.cluster.links.heal()
        self.cluster.set_platform_faults(outage=False, delay_ms=0, lose_answers=0)
        for name in self.frozen:
            self.cluster.resume(name)
        for name in sorted(self.down_daemons):
            self.cluster.start_daemon(name)
        self.frozen.clear()
        self.down_daemons.clear()
        self.cuts.clear()
        self._write("heal", "all")
        self._note_availability()

    def _write(self, fault, detail):
        self.log.append((time.monotonic() - self.started, fault, detail))

    def _freeze(self, name, fault):
        if name not in self.frozen and self.cluster.processes[name].is_running():
            self.cluster.freeze(name)
            self.frozen.add(name)
            self._write(fault, name)

    def freeze_primary(self):
        found = self.cluster.find_primary(self.random.choice(self.cluster.services()))
        if found:
            self._freeze(found[1], "freeze primary")

    def freeze_endpoint(self):
        self._freeze(self.random.choice(sorted(self.cluster.endpoints)), "freeze endpoint")

    def freeze_daemon(self):
        self._freeze(self.random.choice(sorted(self.cluster.daemons)), "freeze daemon")

    def kill_daemon(self):
        name = self.random.choice(sorted(self.cluster.daemons))
        if name in self.frozen or name in self.down_daemons:
            return
        self.cluster.kill(name)
        self.down_daemons.add(name)
        self._write("kill daemon", name)

    def kill_primary(self, service):
        """For good: a restarted stand-in would have lost its log."""
        found = self.cluster.find_primary(service)
        if found:
            self.cluster.kill(found[1])
            self.killed_endpoints.add(found[1])
            self._write("kill primary", found[1])
            self._note_availability()

    def _zones(self, count):
        return self.random.sample([zone["name"] for zone in self.cluster.deployment["zones"]], count)

    def _cut(self, first, second, fault, **options):
        self.cluster.links.cut(first, second, **options)
        self.cuts |= {(first, second), (second, first)}
        self._write(fault, f"{first} - {second}")

    def cut_zones(self):
        self._cut(*self._zones(2), "cut zones")

    def cut_one_way(self):
        self._cut(*self._zones(2), "cut one way", one_way=True)

    def cut_endpoint_links(self):
        self._cut(*self._zones(2), "cut endpoint links", kinds=("endpoint",))

    def isolate_zone(self):
        (zone,) = self._zones(1)
        self.cluster.links.isolate_zone(zone)
        for other in self.cluster.deployment["zones"]:
            self.cuts |= {(zone, other["name"]), (other["name"], zone)}
        self._write("isolate zone", zone)

    def platform_outage(self):
        self.cluster.set_platform_faults(outage=True)
        self._write("platform outage", "")

    def platform_slow(self):
        delay = self.random.randrange(200, 3000)
        self.cluster.set_platform_faults(delay_ms=delay)
        self._write("platform slow", f"{delay} ms")

    def lose_platform_answers(self):
        count = self.random.randrange(1, 6)
        self.cluster.set_platform_faults(lose_answers=count)
        self._write("lose platform answers", str(count))

    def replace_daemons(self):
        """Rolling replacement of all running daemons by VMs of other names."""
        for name in sorted(self.cluster.daemons):
            if name in self.frozen or name in self.down_daemons:
                continue
            self.replacements += 1
            code = self.cluster.replace_daemon(name, f"{self.cluster.daemons[name]['zone']}-r{self.replacements}")
            self._write("replace daemon", f"{name} (exit code {code})")

    def _note_availability(self):
        self.availability.append((time.monotonic(), self._available()))

    def _available(self):
        """Services for which some endpoint and its links to others form a majority."""
        available = set()
        for service in self.cluster.services():
            healthy = [endpoint["zone"] for name, endpoint in self.cluster.endpoints.items()
                       if endpoint["service"] == service and name not in self.frozen | self.killed_endpoints]
            # In a group of three, any two connected members are a majority.
            if any((a, b) not in self.cuts for a, b in itertools.combinations(healthy, 2)):
                available.add(service)
        return available

    def last_without_majority(self, service, begin, end):
        """Last moment of the interval at which no majority was possible, or None."""
        last = None
        for (since, available), (until, _) in zip(self.availability, self.availability[1:] + [(time.monotonic(), None)]):
            if service not in available and since < end and until > begin:
                last = min(until, end)
        return last
