// A zone goes and comes every ten seconds.
{ seconds: 70, faults: [{ at: 10 + 20 * k, 'for': 10, what: { 'kill-zone': { zone: 2 } } } for k in [0, 1, 2]] }
