// Package admission decides which requests a saturated service accepts while demand exceeds its capacity. A queue that
// is longer than the latency target allows makes every response late and does not increase the number of responses, so
// requests that would wait longer are refused at once, the least important first. The package has no clock and no
// network.
package admission
