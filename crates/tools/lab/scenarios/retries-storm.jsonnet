// Clients ask three times, at once, while a third of the hosts is gone.
{ seconds: 50, load: { fill: 0.6, again: 3, again_after: 0.01 },
  faults: [{ at: 12, 'for': 12, what: { kill: { share: 0.33 } } }] }
