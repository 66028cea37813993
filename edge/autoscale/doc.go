// Package autoscale decides how many replicas of a service run in each data centre, and how many
// of them are reclaimable: cheap, but the platform may take all of a data centre's back at once.
//
// A Planner observes the replicas of one service and what callers ask of it. Plan returns the
// orders to send. The planner does no I/O and reads no clock.
//
// Guarantees: no order is made without trust in the view (see View). Orders that lower a number
// are made only if the replicas that are ready then still bear the peak of the last period,
// without the largest data centre and a tenth of the rest, and without the reclaimable replicas
// of any two data centres. The other replicas alone bear the urgent requests. A number that was
// raised is not lowered within minLife.
//
// Numbers of replicas that a decision compares are numbers of replicas of ordinary speed: a
// replica that is twice as slow counts half.
package autoscale
