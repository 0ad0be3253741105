// A third of the sums holds counts and times that cannot be: on the way to the binary they reach no measurement.
{ seconds: 50, faults: [{ at: 12, 'for': 20, what: { 'reports-spoilt': { share: 0.33 } } }], checks: { service_least: 0.5 } }
