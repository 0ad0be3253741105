// What operators set over what the director decides by itself. A director takes this file where EDGE_OPERATOR names it;
// without that, as on the platform, all of it is off. Check it with `coppersail check deploy/operator.jsonnet`.
// Every part may be absent. docs/operators.md says what each field does, and what to type on a Friday night.
{
  form: 1,

  // hosts: {
  //   'NAME': { weight: 0.5 },       // half of what is listed, from 0.01 to 100
  //   'OTHER': { drained: true },    // no lines, as if it drained
  //   'THIRD': { leaves: 1764620000 },   // seconds since 1970; its slices move away before
  // },
  // zones: { 'ZONE': { weight: 2 } },
  // routes: {
  //   'ROUTE': { ceiling: 0.8, again: 'if-never-ran' },   // never, if-never-ran, once, twice
  // },
  // apart: { '12': ['NAME'] },       // slice 12 is kept away from these hosts

  changes: {
    trial: 60,     // seconds on trial unless a change says so itself
    judge: true,   // undo what harms service; false: a change is undone unless somebody confirms it
    // history: '/var/lib/coppersail/changes.log',   // only a start takes it; absent: in memory alone
  },
  // control: { socket: '/run/coppersail/control.sock' },   // only a start takes it; absent: no commands
  log: 'text',     // or 'json'
}
