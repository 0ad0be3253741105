// A tenth of the usual pace, with hosts lost.
{ seconds: 50, channel: { lines_per_s: 4000, backlog: 10000 },
  faults: [{ at: 12, 'for': 12, what: { kill: { share: 0.25 } } }] }
