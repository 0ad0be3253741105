// A quarter of the hosts dies at once and comes back cold.
{ seconds: 50, faults: [{ at: 12, 'for': 12, what: { kill: { share: 0.25 } } }], checks: { service_least: 0.8 } }
