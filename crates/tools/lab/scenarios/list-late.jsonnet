{ seconds: 50, faults: [
  { at: 8, 'for': 30, what: { 'list-late': { by: 6 } } },
  { at: 12, 'for': 12, what: { kill: { share: 0.25 } } },
] }
