// The director's own zone is cut off.
{ seconds: 50, faults: [{ at: 12, 'for': 15, what: { cut: { zone: 0 } } }] }
