// Package usage counts the requests of each organisation that began to run, by windows of true
// time, and reports them to the platform once for the whole deployment.
//
// Each instance counts in its own Accounts. It passes its sums on to the instance that holds the
// duties and to a few deputies. A sum only grows, so a receiver keeps the largest, and it does no
// harm if a message is lost, comes twice or comes out of order.
//
// A Reporter runs at each instance, and acts only while the instance holds the duties. It stores
// the counts of a window before it sends them. Whoever takes over sends the stored counts again,
// or learns that they were sent: the platform never gets two different reports of one window.
//
// Clock agrees on true time: it is the median of the instances' times of day, so the wrong clock
// of one instance moves no window.
//
// docs/design/duties.md says what happens when a part fails.
package usage
