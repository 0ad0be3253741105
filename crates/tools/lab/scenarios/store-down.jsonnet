{ seconds: 50, faults: [
  { at: 10, 'for': 8, what: 'store-down' },
  { at: 12, 'for': 12, what: { kill: { share: 0.2 } } },
] }
