{ seconds: 50, faults: [
  { at: 12, 'for': 14, what: { kill: { share: 0.3 } } },
  { at: 13, 'for': 3, what: { 'kill-director': { director: 0 } } },
] }
