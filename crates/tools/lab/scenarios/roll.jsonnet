// A rolling deploy of all hosts, two at a time.
{ seconds: 70, faults: [{ at: 10, 'for': 36, what: { roll: { share: 1, at_a_time: 2 } } }], checks: { service_least: 0.6 } }
