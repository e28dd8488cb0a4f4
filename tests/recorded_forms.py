"""Records what this build tells its peers and writes to the store.

`python -m tests.recorded_forms NAME` adds the form of the present build to
recorded_forms.json, from which later builds are tested.
"""

import base64
import json
import pathlib
import sys

from tamarackpier import quarantine
from tamarackpier.daemon import store_contact
from tamarackpier.fleet import departures, fleet_view, model
from tamarackpier.platform import interfaces
from tamarackpier.replica import lease
from tamarackpier.traffic import rate_limits
from tests import exchange_fixtures

PATH = pathlib.Path(__file__).parent / "recorded_forms.json"
KEY = model.ReplicaKey("r1", 1)
ENGINE = "r1-0"
CONFIGURATION_VERSION = 7
MAX_RATE = 2.5
PROMPT_TOKENS = 500
FINGERPRINT = "fingerprint"
NOW = 100.0
STORE_RETURN = store_contact.StoreReturn(1, 1, NOW - 1.0, 5.0)
STORE_SERVICE = store_contact.StoreService(1, 3, NOW - 60.0, NOW - 0.5)
LEASE_HOLDER = "entry-001/1"
LEASE_S = 3.0


def status():
    """Returns a status message of which all parts are in use."""
    node = exchange_fixtures.Node(1, [], lambda: NOW)
    node.version = CONFIGURATION_VERSION
    node.fleet.suspend(
        fleet_view.Suspension(KEY, NOW + 3, (ENGINE,), "did not answer")
    )
    node.fleet.record_departure(departures.Departure(ENGINE, 1))
    node.relay.replica_loads.begin(KEY, PROMPT_TOKENS)
    node.relay.limits.record(rate_limits.Limit(ENGINE, 1, MAX_RATE, NOW))
    node.relay.quarantine.add(
        [
            quarantine.Crash(FINGERPRINT, f"o{number}@1", NOW)
            for number in range(3)
        ]
    )
    node.statuses.return_to_tell = lambda: STORE_RETURN
    node.statuses.service_to_tell = lambda: STORE_SERVICE
    node.roster.beat(True, False)
    return node.statuses.build_request()


def lease_value():
    """Returns the value of a lease's row."""
    row = interfaces.Row("lease/zone-a", 0, None)
    step = lease.take_over(
        lease.observe(None, row, 0.0), LEASE_HOLDER, LEASE_S, NOW
    )
    (write,) = step.transaction.writes
    return write.value


def main():
    """Adds the form of this build under the name in the arguments."""
    forms = json.loads(PATH.read_text()) if PATH.exists() else {}
    forms[sys.argv[1]] = {
        "status": base64.b64encode(status().SerializeToString()).decode(),
        "lease": lease_value(),
    }
    PATH.write_text(json.dumps(forms, indent=2, sort_keys=True) + "\n")


if __name__ == "__main__":
    main()
